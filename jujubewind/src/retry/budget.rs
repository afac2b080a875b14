//! A token bucket that requests fill and retries empty.

use super::Result;
use super::Settings;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// The cost of one retry; a request pays in its share of it.
const RETRY: u64 = 1_000;

/// One entry's budget for retries: at most a share of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    level: u64,
    filled: MonoTime,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let level = settings.burst * RETRY;
        Self {
            settings,
            level,
            filled: MonoTime::ZERO,
        }
    }

    /// Notes a request's first attempt, which pays for a share of a retry.
    pub fn request(&mut self) {
        self.add(self.settings.share);
    }

    /// Allows one more attempt of a request that has made `attempts`.
    ///
    /// # Errors
    /// The request has used its attempts, or the entry its budget; the caller is told when to
    /// come back.
    pub fn retry(&mut self, now: MonoTime, attempts: u32) -> Result<()> {
        self.refill(now);
        if attempts >= self.settings.attempts || self.level < RETRY {
            return Err(self.refusal());
        }
        self.level -= RETRY;
        Ok(())
    }

    fn refill(&mut self, now: MonoTime) {
        let trickle = self.settings.trickle.get().max(1);
        let due = now.since(self.filled).get() / trickle;
        if due > 0 {
            self.filled = self.filled.after(Millis(due.saturating_mul(trickle)));
            self.add(due.saturating_mul(RETRY));
        }
    }

    fn add(&mut self, amount: u64) {
        let full = self.settings.burst * RETRY;
        self.level = self.level.saturating_add(amount).min(full);
    }

    fn refusal(&self) -> Refusal {
        let missing = RETRY.saturating_sub(self.level).max(1);
        let wait = self.settings.trickle.get() * missing / RETRY;
        Refusal {
            reason: Reason::RetryBudget,
            retry: Millis(wait.max(1)),
        }
    }
}
