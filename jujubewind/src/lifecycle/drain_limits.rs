//! The spans of a stop.

use crate::refusal::Reason;
use crate::types::Millis;

/// How a daemon stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// How long new requests are taken after readiness fails; zero where callers learn at once.
    pub grace: Millis,
    /// How long no request must be in hand before the process ends, for the last bytes to leave.
    pub settle: Millis,
    /// Why new requests are refused afterwards.
    pub reason: Reason,
    /// When a refused caller should try again, elsewhere.
    pub retry: Millis,
}

/// The wait for the last answer's bytes to leave.
const SETTLE: Millis = Millis(300);
/// When a caller should turn to another process.
const RETRY: Millis = Millis(100);

impl DrainLimits {
    /// The stop of an entry, to which the balancer sends for up to `grace` more.
    #[must_use]
    pub const fn entry(grace: Millis) -> Self {
        Self {
            grace,
            settle: SETTLE,
            reason: Reason::Stopping,
            retry: RETRY,
        }
    }

    /// The stop of an agent: each refusal tells the entry, so it refuses from the start.
    #[must_use]
    pub const fn agent() -> Self {
        Self {
            grace: Millis::ZERO,
            settle: SETTLE,
            reason: Reason::Leaving,
            retry: RETRY,
        }
    }
}
