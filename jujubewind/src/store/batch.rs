//! Several writers' conditional writes in one call to the store.

use super::Entry;
use super::Op;
use super::Outcome;
use super::Version;
use super::Write;
use crate::types::Millis;
use crate::types::MonoTime;

/// The longest wait of a write for others to join it.
const WINDOW: Millis = Millis(3);

/// The most writes of one commit; etcd's default limit is 128.
const MAX_WRITES: usize = 64;

/// A write and who waits for its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite<T> {
    /// Who waits.
    pub waiter: T,
    /// The write.
    pub write: Write,
}

/// What became of a commit's writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchResult<T> {
    /// Those whose outcome is known, or known to be in doubt.
    pub completed: Vec<(T, Outcome)>,
    /// Those that had no effect because a companion conflicted; each goes again by itself.
    pub retry: Vec<PendingWrite<T>>,
}

/// Gathers conditional writes for a few milliseconds.
///
/// A commit is all or nothing, so one conflict holds up its companions, which costs them one more
/// call. Conflicts need two callers with one key, and are rare.
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
    /// Whether `write` can join; a key that waits already must go in the next batch.
    #[must_use]
    pub fn accepts(&self, write: &Write) -> bool {
        let is_same = |other: &PendingWrite<T>| other.write.key == write.key;
        self.writes.len() < MAX_WRITES && !self.writes.iter().any(is_same)
    }

    /// Adds a write that [`Batch::accepts`] allowed.
    pub fn push(&mut self, now: MonoTime, waiter: T, write: Write) {
        if self.writes.is_empty() {
            self.due = now.after(WINDOW);
        }
        self.writes.push(PendingWrite { waiter, write });
    }

    /// When the batch should go; [`MonoTime::NEVER`] while it is empty.
    #[must_use]
    pub const fn due(&self) -> MonoTime {
        self.due
    }

    /// Takes the gathered writes, to be sent as one call.
    pub fn take(&mut self) -> Vec<PendingWrite<T>> {
        self.due = MonoTime::NEVER;
        std::mem::take(&mut self.writes)
    }

    /// The call that makes `writes`.
    #[must_use]
    pub fn op(writes: &[PendingWrite<T>]) -> Op {
        match writes {
            [only] => Op::CompareAndSwap(only.write.clone()),
            _ => Op::Commit(writes.iter().map(|each| each.write.clone()).collect()),
        }
    }

    /// Shares one call's outcome among its waiters.
    #[must_use]
    pub fn resolve(writes: Vec<PendingWrite<T>>, outcome: &Outcome) -> BatchResult<T> {
        let Outcome::Conflicts(states) = outcome else {
            return BatchResult::all(writes, outcome);
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
    fn all(writes: Vec<PendingWrite<T>>, outcome: &Outcome) -> Self {
        let share = |each: PendingWrite<T>| (each.waiter, outcome.clone());
        Self {
            completed: writes.into_iter().map(share).collect(),
            retry: Vec::new(),
        }
    }
}

fn version(state: Option<&Entry>) -> Version {
    state.map_or(Version::ABSENT, |entry| entry.version)
}
