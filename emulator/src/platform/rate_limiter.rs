//! Rate limit of calls to the store.

use jujubewind::types::MonoTime;

/// Bucket units per call: the bucket refills by `per_second` units each microsecond.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket with a capacity of one second's calls.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_second: u64,
    /// Fill level in millionths of a call.
    level: u64,
    last: MonoTime,
}

impl RateLimiter {
    /// Creates a full bucket for `per_second` calls.
    #[must_use]
    pub fn new(per_second: u64) -> Self {
        Self {
            per_second,
            level: per_second.saturating_mul(MICROS_PER_SECOND),
            last: MonoTime::ZERO,
        }
    }

    /// Admits one call if the bucket allows it; `reserved` calls per second count as used.
    pub fn try_acquire(&mut self, now: MonoTime, reserved: u64) -> bool {
        let rate = self.per_second.saturating_sub(reserved);
        let elapsed = now.micros().saturating_sub(self.last.micros());
        self.last = now;
        let refill = elapsed.saturating_mul(rate);
        let capacity = rate.saturating_mul(MICROS_PER_SECOND);
        self.level = self.level.saturating_add(refill).min(capacity);
        if self.level < MICROS_PER_SECOND {
            return false;
        }
        self.level -= MICROS_PER_SECOND;
        true
    }
}
