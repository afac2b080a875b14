//! The intervals of the engine time limit: UTC days.

use std::time::SystemTime;

use crate::credit::Interval;
use crate::credit::IntervalId;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::MonoTime;

/// Length of an interval.
const MILLIS_PER_DAY: u64 = 24 * 3_600 * 1_000;

/// The current interval of `entry`.
pub(super) fn current_interval(entry: &EntryId, limit: Credit, now: MonoTime) -> Interval {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    Interval {
        entry: entry.clone(),
        id: IntervalId(millis / MILLIS_PER_DAY),
        limit,
        ends: now.after(Millis(MILLIS_PER_DAY - millis % MILLIS_PER_DAY)),
    }
}
