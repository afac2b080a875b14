//! Time limits of memory reservations.

use crate::types::Millis;

/// Time limits of memory reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationLimits {
    /// How long an engine holds the memory after an order; it stays reserved this long after a
    /// crash of the entry.
    pub hold: Millis,
    /// The interval between two renewals.
    pub renewal: Millis,
    /// How long memory may be held before the request uses it.
    pub max_idle: Millis,
    /// How long memory is renewed before the request uses it: a later renewal would outlast what
    /// the platform allows if no release reached the engine.
    pub idle_renewals: Millis,
    /// How long after it was given up an unanswered order may still be carried out.
    pub max_lateness: Millis,
    /// The delay before an order that failed is sent again.
    pub retry: Millis,
    /// The interval between releases while an unanswered order may still be carried out.
    pub recheck: Millis,
}
