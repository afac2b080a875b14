//! The rate of calls that the store takes.

use jujubewind::types::MonoTime;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// A token bucket that holds one second's calls.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_second: u64,
    /// In millionths of a call.
    level: u64,
    last: MonoTime,
}

impl RateLimiter {
    /// A full bucket for `per_second` calls.
    #[must_use]
    pub fn new(per_second: u64) -> Self {
        Self {
            per_second,
            level: per_second.saturating_mul(SECOND),
            last: MonoTime::ZERO,
        }
    }

    /// Takes one call, while `held` calls a second are taken by those that wait.
    pub fn try_acquire(&mut self, now: MonoTime, held: u64) -> bool {
        let rate = self.per_second.saturating_sub(held);
        let passed = now.micros().saturating_sub(self.last.micros());
        self.last = now;
        let refill = passed.saturating_mul(rate);
        let most = rate.saturating_mul(SECOND);
        self.level = self.level.saturating_add(refill).min(most);
        if self.level < SECOND {
            return false;
        }
        self.level -= SECOND;
        true
    }
}
