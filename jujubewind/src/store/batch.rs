//! Batches conditional writes of several callers into one store call.

use super::Entry;
use super::Op;
use super::Outcome;
use super::Version;
use super::Write;
use crate::types::Millis;
use crate::types::MonoTime;

/// How long the first write of a batch waits for others.
const BATCH_WINDOW: Millis = Millis(3);

/// Maximum number of writes in a commit; etcd's default limit is 128 operations.
const MAX_WRITES: usize = 64;

/// A write whose outcome is not known yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite<T> {
    /// Identifies the caller that waits for the outcome.
    pub waiter: T,
    /// The write.
    pub write: Write,
}

/// The outcomes of a batch's writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchResult<T> {
    /// Writes with their final outcomes, which include [`Outcome::Unknown`].
    pub completed: Vec<(T, Outcome)>,
    /// Writes that had no effect because another write conflicted; each is retried alone.
    pub retry: Vec<PendingWrite<T>>,
}

/// Collects conditional writes for a few milliseconds.
///
/// A commit is atomic, so one conflict costs the other writes one more call. Conflicts are rare, as
/// they need two callers that write the same key.
#[derive(Debug)]
pub struct Batch<T> {
    writes: Vec<PendingWrite<T>>,
    due: MonoTime,
}

impl<T> Default for Batch<T> {
    fn default() -> Self {
        Self {
            writes: Vec::new(),
            due: MonoTime::NEVER,
        }
    }
}

impl<T> Batch<T> {
    /// Whether `write` can be added; two writes of one key need separate batches.
    #[must_use]
    pub fn accepts(&self, write: &Write) -> bool {
        let is_same = |other: &PendingWrite<T>| other.write.key == write.key;
        self.writes.len() < MAX_WRITES && !self.writes.iter().any(is_same)
    }

    /// Adds a write that [`Batch::accepts`] allowed.
    pub fn push(&mut self, now: MonoTime, waiter: T, write: Write) {
        if self.writes.is_empty() {
            self.due = now.after(BATCH_WINDOW);
        }
        self.writes.push(PendingWrite { waiter, write });
    }

    /// When the batch should be sent; [`MonoTime::NEVER`] while it is empty.
    #[must_use]
    pub const fn due(&self) -> MonoTime {
        self.due
    }

    /// Removes the collected writes, which the caller sends as one call.
    pub fn take(&mut self) -> Vec<PendingWrite<T>> {
        self.due = MonoTime::NEVER;
        std::mem::take(&mut self.writes)
    }

    /// The store operation that makes `writes`.
    #[must_use]
    pub fn op(writes: &[PendingWrite<T>]) -> Op {
        match writes {
            [single] => Op::CompareAndSwap(single.write.clone()),
            _ => Op::Commit(writes.iter().map(|each| each.write.clone()).collect()),
        }
    }

    /// Derives the outcome of each write from the outcome of the call.
    #[must_use]
    pub fn resolve(writes: Vec<PendingWrite<T>>, outcome: &Outcome) -> BatchResult<T> {
        let Outcome::Conflicts(states) = outcome else {
            return BatchResult::completed(writes, outcome);
        };
        let mut result = BatchResult::default();
        for (each, state) in writes.into_iter().zip(states) {
            if version(state.as_ref()) == each.write.expect {
                result.retry.push(each);
            } else {
                let conflict = Outcome::Conflict(state.clone());
                result.completed.push((each.waiter, conflict));
            }
        }
        result
    }
}

impl<T> Default for BatchResult<T> {
    fn default() -> Self {
        Self {
            completed: Vec::new(),
            retry: Vec::new(),
        }
    }
}

impl<T> BatchResult<T> {
    fn completed(writes: Vec<PendingWrite<T>>, outcome: &Outcome) -> Self {
        let complete = |each: PendingWrite<T>| (each.waiter, outcome.clone());
        Self {
            completed: writes.into_iter().map(complete).collect(),
            retry: Vec::new(),
        }
    }
}

fn version(state: Option<&Entry>) -> Version {
    state.map_or(Version::ABSENT, |entry| entry.version)
}
