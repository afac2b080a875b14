//! Attempts that are over, so that none starts after its end and each end is told truly.

use std::collections::BTreeMap;

use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The least time for which an end is remembered.
const MEMORY: Millis = Millis(600_000);

/// The time between two rounds of forgetting.
const ROUND: Millis = Millis(60_000);

#[derive(Clone, Copy, Debug)]
struct Record {
    ran: bool,
    until: MonoTime,
}

/// The ended attempts of this process's life.
#[derive(Clone, Debug, Default)]
pub struct Past {
    records: BTreeMap<AttemptId, Record>,
    next: MonoTime,
}

impl Past {
    /// Remembers that `attempt` is over, at least until `deadline`; what ran stays so.
    pub fn note(&mut self, now: MonoTime, attempt: AttemptId, ran: bool, deadline: MonoTime) {
        let until = deadline.max(now.after(MEMORY));
        let record = self.records.entry(attempt).or_insert(Record { ran, until });
        record.ran |= ran;
        record.until = record.until.max(until);
    }

    /// Whether `attempt` is over, and if so whether it reached the engine.
    #[must_use]
    pub fn ran(&self, attempt: AttemptId) -> Option<bool> {
        self.records.get(&attempt).map(|record| record.ran)
    }

    /// Forgets what is old enough.
    pub fn prune(&mut self, now: MonoTime) {
        if now >= self.next {
            self.next = now.after(ROUND);
            self.records.retain(|_, record| record.until > now);
        }
    }
}
