//! Backoff between retries while the store fails.

use super::Limits;
use crate::types::Millis;
use crate::types::MonoTime;

/// Exponential backoff over consecutive store failures.
#[derive(Debug)]
pub struct StoreBackoff {
    limits: Limits,
    since: Option<MonoTime>,
    delay: Millis,
    has_unknown: bool,
}

impl StoreBackoff {
    /// Creates a backoff without failures.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            since: None,
            delay: limits.retry_delay,
            has_unknown: false,
        }
    }

    /// Resets the backoff after the store answered.
    pub const fn reset(&mut self) {
        *self = Self::new(self.limits);
    }

    /// Returns true for the first lost answer since the last reset, which justifies an immediate
    /// read.
    pub const fn take_first_unknown(&mut self) -> bool {
        let first = !self.has_unknown;
        self.has_unknown = true;
        first
    }

    /// Records a failure. Returns the time of the next retry, or `None` once `timeout` has elapsed
    /// since the first failure.
    pub fn next_retry(&mut self, now: MonoTime, timeout: Millis) -> Option<MonoTime> {
        let since = *self.since.get_or_insert(now);
        if now.since(since) >= timeout {
            return None;
        }
        let until = now.after(self.delay);
        self.delay = Limits::MAX_RETRY_DELAY.min(Millis(self.delay.get() * 2));
        Some(until)
    }
}
