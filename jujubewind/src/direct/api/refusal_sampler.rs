//! Limits how many refusals are logged.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::MonoTime;

/// The window over which refusals of one reason are counted.
const WINDOW: Millis = Millis(1_000);
/// Refusals of one reason that are logged individually in a window; the rest are only counted.
const MAX_LOGGED: u64 = 50;

/// The refusals of one reason in the current window.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    began: MonoTime,
    seen: u64,
}

/// Counts refusals by reason and decides which are logged individually.
#[derive(Debug, Default)]
pub struct RefusalSampler {
    counts: RefCell<BTreeMap<Reason, Count>>,
}

impl RefusalSampler {
    /// Counts a refusal; returns whether to log it, and how many of the previous window were not
    /// logged.
    pub fn count(&self, now: MonoTime, reason: Reason) -> (bool, u64) {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(reason).or_default();
        let mut suppressed = 0;
        if now.since(count.began) >= WINDOW {
            suppressed = count.seen.saturating_sub(MAX_LOGGED);
            *count = Count {
                began: now,
                seen: 0,
            };
        }
        count.seen += 1;
        (count.seen <= MAX_LOGGED, suppressed)
    }
}
