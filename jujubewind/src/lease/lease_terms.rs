//! Durations of a lease.

use crate::types::Millis;

/// The durations that govern a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a renewal is valid.
    pub ttl: Millis,
    /// How long before the expiry the holder stops acting on the lease, to allow for clock drift.
    pub margin: Millis,
    /// Interval between renewals.
    pub renewal: Millis,
    /// Retry delay after the store failed.
    pub retry_delay: Millis,
}

impl LeaseTerms {
    /// Creates terms with a renewal every third of `ttl` and a margin of a tenth of it.
    #[must_use]
    pub const fn with_ttl(ttl: Millis) -> Self {
        Self {
            ttl,
            margin: Millis(ttl.get() / 10),
            renewal: Millis(ttl.get() / 3),
            retry_delay: Millis(ttl.get() / 20),
        }
    }
}
