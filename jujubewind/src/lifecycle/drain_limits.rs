//! Timeouts of a drain.

use crate::refusal::Reason;
use crate::types::Millis;

/// The parameters of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLimits {
    /// How long new requests are accepted after readiness fails; zero if callers learn of it at
    /// once.
    pub grace: Millis,
    /// How long no request must be open before the process exits, so that the last bytes are sent.
    pub settle: Millis,
    /// The reason for refusing new requests afterwards.
    pub reason: Reason,
    /// When a refused caller should retry at another process.
    pub retry: Millis,
}

/// Time for the last response bytes to be sent.
const SETTLE_TIME: Millis = Millis(300);
/// Time after which a refused caller should retry at another process.
const RETRY_DELAY: Millis = Millis(100);

impl DrainLimits {
    /// Parameters for an entry, to which the load balancer keeps sending for up to `grace`.
    #[must_use]
    pub const fn entry(grace: Millis) -> Self {
        Self {
            grace,
            settle: SETTLE_TIME,
            reason: Reason::Stopping,
            retry: RETRY_DELAY,
        }
    }

    /// Parameters for an agent, which refuses from the start, as each refusal informs the entry.
    #[must_use]
    pub const fn agent() -> Self {
        Self {
            grace: Millis::ZERO,
            settle: SETTLE_TIME,
            reason: Reason::Leaving,
            retry: RETRY_DELAY,
        }
    }
}
