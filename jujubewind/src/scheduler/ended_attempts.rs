//! Attempts that have ended, so that none is started again and callers learn whether it ran.

use std::collections::BTreeMap;

use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The minimum time for which an ended attempt is remembered.
const RETENTION: Millis = Millis(600_000);

/// The time between two prunings.
const PRUNE_INTERVAL: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Record {
    ran: bool,
    until: MonoTime,
}

/// The attempts that ended since this process started.
#[derive(Clone, Debug, Default)]
pub struct EndedAttempts {
    records: BTreeMap<AttemptId, Record>,
    next_prune: MonoTime,
}

impl EndedAttempts {
    /// Records the end of `attempt` at least until `deadline`; once recorded as run, it stays so.
    pub fn record(&mut self, now: MonoTime, attempt: AttemptId, ran: bool, deadline: MonoTime) {
        let until = deadline.max(now.after(RETENTION));
        let record = self.records.entry(attempt).or_insert(Record { ran, until });
        record.ran |= ran;
        record.until = record.until.max(until);
    }

    /// Whether an ended `attempt` reached the engine; `None` if it has not ended.
    #[must_use]
    pub fn ran(&self, attempt: AttemptId) -> Option<bool> {
        self.records.get(&attempt).map(|record| record.ran)
    }

    /// Removes records past their retention.
    pub fn prune(&mut self, now: MonoTime) {
        if now >= self.next_prune {
            self.next_prune = now.after(PRUNE_INTERVAL);
            self.records.retain(|_, record| record.until > now);
        }
    }
}
