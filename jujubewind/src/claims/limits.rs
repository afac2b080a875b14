//! Timeouts of a claimant.

use crate::types::Millis;

/// Timeouts and retry delays of a claimant. Safety depends on none of them; they only determine
/// when to give up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long an undispatched claim must stay unchanged before it is taken over.
    pub takeover_delay: Millis,
    /// How long an unavailable store is retried before the call is refused.
    pub claim_timeout: Millis,
    /// How long writing a result or a release to an unavailable store is retried.
    pub result_timeout: Millis,
    /// Initial retry delay after a failed store call; it doubles up to [`Limits::MAX_RETRY_DELAY`].
    pub retry_delay: Millis,
    /// Retry delay for callers while a call with the same key is in progress.
    pub busy_retry: Millis,
    /// Retry delay for callers after the store failed.
    pub store_retry: Millis,
}

impl Limits {
    /// Maximum delay between two store retries.
    pub const MAX_RETRY_DELAY: Millis = Millis(5_000);
    /// Longest response body that is stored for replays.
    pub const MAX_BODY_BYTES: usize = 64 * 1024;
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            takeover_delay: Millis(500),
            claim_timeout: Millis(1_000),
            result_timeout: Millis(600_000),
            retry_delay: Millis(50),
            busy_retry: Millis(250),
            store_retry: Millis(2_000),
        }
    }
}
