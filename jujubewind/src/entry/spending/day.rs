//! The intervals of engine time: days of the wall clock.

use std::time::SystemTime;

use crate::credit::Interval;
use crate::credit::IntervalId;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The length of an interval.
const DAY: u64 = 24 * 3_600 * 1_000;

/// The interval of `entry` that runs now.
pub(super) fn today(entry: &EntryId, limit: Credit, now: MonoTime) -> Interval {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    Interval {
        entry: entry.clone(),
        id: IntervalId(millis / DAY),
        limit,
        ends: now.after(Millis(DAY - millis % DAY)),
    }
}
