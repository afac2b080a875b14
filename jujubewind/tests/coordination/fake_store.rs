//! An in-memory store with the faults that the platform's store can have.

use std::collections::BTreeMap;

use jujubewind::store::Cause;
use jujubewind::store::Entry;
use jujubewind::store::Key;
use jujubewind::store::LeaseId;
use jujubewind::store::Op;
use jujubewind::store::Outcome;
use jujubewind::store::Version;
use jujubewind::store::Write;
use jujubewind::types::Millis;
use rand::RngExt;
use rand::rngs::StdRng;

/// A fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The store is down and refuses connections.
    Down,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call never arrives, which the caller cannot know.
    CallLost,
    /// The call takes effect after the caller has given up on its answer.
    Late,
    /// A read is answered with the entry of another key.
    WrongKey,
}

impl Fault {
    /// Draws a fault for `percent` of the calls, and none for the others.
    pub fn draw(rng: &mut StdRng, percent: u32) -> Self {
        if !rng.random_ratio(percent, 100) {
            return Self::None;
        }
        match rng.random_range(0..5) {
            0 => Self::Down,
            1 => Self::AnswerLost,
            2 => Self::CallLost,
            3 => Self::Late,
            _ => Self::WrongKey,
        }
    }
}

/// The store's entries and the calls that have not reached it yet.
#[derive(Debug, Default)]
pub struct FakeStore {
    entries: BTreeMap<Key, Entry>,
    revision: u64,
    late: Vec<Op>,
    /// Number of calls received.
    pub calls: u64,
}

impl FakeStore {
    /// Performs a call under `fault`.
    pub fn call(&mut self, op: &Op, fault: Fault) -> Outcome {
        self.calls += 1;
        match fault {
            Fault::None => self.apply(op),
            Fault::Down => Outcome::NotApplied(Cause::NotConnected),
            Fault::AnswerLost => {
                self.apply(op);
                Outcome::Unknown
            }
            Fault::CallLost => Outcome::Unknown,
            Fault::Late => {
                self.late.push(op.clone());
                Outcome::Unknown
            }
            Fault::WrongKey => self.answer_with_other_key(op),
        }
    }

    /// Applies one of the late calls, chosen at random.
    pub fn deliver_late(&mut self, rng: &mut StdRng) {
        if self.late.is_empty() {
            return;
        }
        let op = self.late.swap_remove(rng.random_range(0..self.late.len()));
        self.apply(&op);
    }

    /// The entry of `key`.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    fn answer_with_other_key(&self, op: &Op) -> Outcome {
        let Op::Get(key) = op else {
            return Outcome::Unknown;
        };
        let other = Entry {
            key: Key::new("other", key.as_str()),
            value: b"{}".to_vec(),
            version: Version(self.revision),
        };
        Outcome::Found(Some(other))
    }

    fn apply(&mut self, op: &Op) -> Outcome {
        match op {
            Op::Get(key) => Outcome::Found(self.entries.get(key).cloned()),
            Op::List(prefix) => Outcome::Listed(self.list(prefix)),
            Op::Put { key, value, .. } => self.write(key, Some(value)),
            Op::Delete(key) => self.write(key, None),
            Op::CompareAndSwap(write) if self.matches_version(write) => {
                self.write(&write.key, write.value.as_ref())
            }
            Op::CompareAndSwap(write) => Outcome::Conflict(self.get(&write.key).cloned()),
            Op::Commit(writes) => self.commit(writes),
            Op::GrantLease(length) => Outcome::Leased(LeaseId(1), *length),
            Op::KeepAlive(lease) => Outcome::Leased(*lease, Millis::ZERO),
        }
    }

    fn list(&self, prefix: &str) -> Vec<Entry> {
        let matches = |entry: &&Entry| entry.key.as_str().starts_with(prefix);
        self.entries.values().filter(matches).cloned().collect()
    }

    fn matches_version(&self, write: &Write) -> bool {
        let version = self
            .get(&write.key)
            .map_or(Version::ABSENT, |entry| entry.version);
        version == write.expect
    }

    fn commit(&mut self, writes: &[Write]) -> Outcome {
        if !writes.iter().all(|write| self.matches_version(write)) {
            let state = |write: &Write| self.get(&write.key).cloned();
            return Outcome::Conflicts(writes.iter().map(state).collect());
        }
        for write in writes {
            self.write(&write.key, write.value.as_ref());
        }
        Outcome::Applied(Version(self.revision))
    }

    fn write(&mut self, key: &Key, value: Option<&Vec<u8>>) -> Outcome {
        self.revision += 1;
        let version = Version(self.revision);
        match value {
            None => {
                self.entries.remove(key);
            }
            Some(value) => {
                let entry = Entry {
                    key: key.clone(),
                    value: value.clone(),
                    version,
                };
                self.entries.insert(key.clone(), entry);
            }
        }
        Outcome::Applied(version)
    }
}
