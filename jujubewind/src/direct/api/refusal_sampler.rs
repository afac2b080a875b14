//! Keeping the log of refusals bounded.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::MonoTime;

/// The span over which refusals of one reason are counted.
const SPAN: Millis = Millis(1_000);
/// Refusals of one reason that are logged one by one in that span; beyond it they are summed up.
const SINGLE: u64 = 50;

/// Refusals of one reason in the present span.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    began: MonoTime,
    seen: u64,
}

/// Counts refusals by reason and says which get a line of their own.
#[derive(Debug, Default)]
pub struct RefusalSampler {
    counts: RefCell<BTreeMap<Reason, Count>>,
}

impl RefusalSampler {
    /// Counts a refusal; says whether it gets a line, and how many of the span before got none.
    pub fn count(&self, now: MonoTime, reason: Reason) -> (bool, u64) {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(reason).or_default();
        let mut summed = 0;
        if now.since(count.began) >= SPAN {
            summed = count.seen.saturating_sub(SINGLE);
            *count = Count {
                began: now,
                seen: 0,
            };
        }
        count.seen += 1;
        (count.seen <= SINGLE, summed)
    }
}
