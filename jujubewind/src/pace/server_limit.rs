//! The limit that a backend server has named.

use super::limits::UNLIMITED_RESPONSES;
use crate::types::MonoTime;
use crate::types::RequestRate;

/// The latest that is known of a server's limit.
///
/// Responses overtake each other, so one without a limit ends it only if its request was sent after
/// the limit had been named.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimit {
    /// `None` if there is no limit.
    pub rate: Option<RequestRate>,
    /// When the server said so.
    pub at: MonoTime,
    /// The responses in a row without a limit, to requests that were sent after `at`.
    unlimited: u32,
}

impl ServerLimit {
    /// The limit `rate` that the server named at `at`.
    #[must_use]
    pub const fn new(rate: Option<RequestRate>, at: MonoTime) -> Self {
        let unlimited = 0;
        Self {
            rate,
            at,
            unlimited,
        }
    }

    /// Records that it was named again, at a later time.
    pub const fn confirm(&mut self, at: MonoTime) {
        *self = Self::new(self.rate, at);
    }

    /// Records a response without a limit to a request that was sent at `sent`; returns whether it
    /// ended the limit.
    pub fn record_unlimited(&mut self, now: MonoTime, sent: MonoTime) -> bool {
        if self.rate.is_none() || sent <= self.at {
            return false;
        }
        self.unlimited += 1;
        if self.unlimited < UNLIMITED_RESPONSES {
            return false;
        }
        *self = Self::new(None, now);
        true
    }
}
