//! A retry budget that all entries share without coordination.

use std::collections::VecDeque;

use crate::types::Millis;
use crate::types::MonoTime;

crate::data! {
    /// Limits on the retries of requests for one service.
    pub struct BudgetLimits {
        /// Retries allowed for each thousand requests.
        pub share: u64,
        /// Additional retries, of all entries together.
        pub extra: u64,
        /// The sliding window over which requests and retries are counted.
        pub window: Millis,
    }
}

/// The usable share of the allowance, in thousandths. The rest covers retries that arrive at the
/// backend server later than they were counted here.
const USABLE_PERMILLE: u64 = 700;

/// Divides the extra retries in a process's first window: its predecessor may have used the rest.
const FIRST_WINDOW_DIVISOR: u64 = 4;

/// Counts requests and retries of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: BudgetLimits,
    started: MonoTime,
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl Budget {
    /// Creates the budget of a process that started at `started`.
    #[must_use]
    pub const fn new(limits: BudgetLimits, started: MonoTime) -> Self {
        Self {
            limits,
            started,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a new request.
    pub fn request(&mut self, now: MonoTime) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the allowance has room; the `entries` divide the extra retries among
    /// them.
    pub fn take(&mut self, now: MonoTime, entries: usize) -> bool {
        self.expire(now);
        let is_first_window = now.since(self.started) < self.limits.window;
        let entries = u64::try_from(entries.max(1)).unwrap_or(u64::MAX);
        let shared = self.limits.extra / entries;
        let extra = if is_first_window {
            shared / FIRST_WINDOW_DIVISOR
        } else {
            shared
        };
        let requests = u64::try_from(self.requests.len()).unwrap_or(u64::MAX);
        let allowed = requests.saturating_mul(self.limits.share) / 1_000 + extra;
        let used = u64::try_from(self.retries.len()).unwrap_or(u64::MAX);
        if used >= allowed.saturating_mul(USABLE_PERMILLE) / 1_000 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Takes back a retry that was granted at `taken`, as nothing was sent.
    pub fn give_back(&mut self, taken: MonoTime) {
        if let Some(index) = self.retries.iter().position(|at| *at == taken) {
            self.retries.remove(index);
        }
    }

    fn expire(&mut self, now: MonoTime) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) >= self.limits.window)
            {
                times.pop_front();
            }
        }
    }
}
