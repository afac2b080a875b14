//! A token bucket that is filled by requests and drained by retries.

use super::Result;
use super::Settings;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// Tokens that one retry costs; each request adds a fraction of this.
const RETRY_COST: u64 = 1_000;

/// One entry's retry budget: retries are limited to a fraction of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    level: u64,
    refilled_at: MonoTime,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let level = settings.burst * RETRY_COST;
        Self {
            settings,
            level,
            refilled_at: MonoTime::ZERO,
        }
    }

    /// Records a request's first attempt, which adds a fraction of a retry to the budget.
    pub fn record_request(&mut self) {
        self.add(self.settings.per_thousand);
    }

    /// Takes one retry from the budget for a request that has made `attempts`.
    ///
    /// # Errors
    /// The request has reached its maximum of attempts, or the budget is used up; the refusal has
    /// the retry delay.
    pub fn retry(&mut self, now: MonoTime, attempts: u32) -> Result<()> {
        self.refill(now);
        if attempts >= self.settings.max_attempts || self.level < RETRY_COST {
            return Err(self.refusal());
        }
        self.level -= RETRY_COST;
        Ok(())
    }

    fn refill(&mut self, now: MonoTime) {
        let refill_period = self.settings.refill_period.get().max(1);
        let due = now.since(self.refilled_at).get() / refill_period;
        if due > 0 {
            self.refilled_at = self
                .refilled_at
                .after(Millis(due.saturating_mul(refill_period)));
            self.add(due.saturating_mul(RETRY_COST));
        }
    }

    fn add(&mut self, amount: u64) {
        let full = self.settings.burst * RETRY_COST;
        self.level = self.level.saturating_add(amount).min(full);
    }

    fn refusal(&self) -> Refusal {
        let missing = RETRY_COST.saturating_sub(self.level).max(1);
        let wait = self.settings.refill_period.get() * missing / RETRY_COST;
        Refusal {
            reason: Reason::RetryBudget,
            retry: Millis(wait.max(1)),
        }
    }
}
