//! How long a lease lasts.

use crate::types::Millis;

/// The times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a renewal holds.
    pub ttl: Millis,
    /// How much earlier the holder stops, for clocks that run at unlike speeds.
    pub margin: Millis,
    /// How long after a renewal the next is sent.
    pub renewal: Millis,
    /// The pause after the store failed.
    pub pause: Millis,
}

impl LeaseTerms {
    /// Terms with a renewal each third of `ttl` and a margin of a tenth.
    #[must_use]
    pub const fn with_ttl(ttl: Millis) -> Self {
        Self {
            ttl,
            margin: Millis(ttl.get() / 10),
            renewal: Millis(ttl.get() / 3),
            pause: Millis(ttl.get() / 20),
        }
    }
}
