//! What is known against one request.

use std::collections::BTreeMap;

use rapidhash::v3::rapidhash_v3;

use super::Fingerprint;
use super::Mark;
use super::Verdict;
use super::limits::ALONE_LIMIT;
use super::limits::CRASH_TTL;
use super::limits::MAX_MARKS;
use super::limits::TOTAL_LIMIT;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// A crash with the time of its report on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    alone: bool,
    cleared: bool,
    at: MonoTime,
}

/// The crashes of one request; two copies merge to the same one in any order.
#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    entries: BTreeMap<u64, Entry>,
}

impl Case {
    /// Merges one crash in; says whether it is news.
    pub(super) fn merge(&mut self, now: MonoTime, mark: &Mark) -> bool {
        let at = now.micros().saturating_sub(mark.age.get() * 1_000);
        let theirs = Entry {
            alone: mark.alone,
            cleared: mark.cleared,
            at: MonoTime::from_micros(at),
        };
        let Some(ours) = self.entries.get_mut(&mark.crash) else {
            if mark.age >= CRASH_TTL || self.entries.len() >= MAX_MARKS {
                return false;
            }
            self.entries.insert(mark.crash, theirs);
            return true;
        };
        let known = (ours.alone, ours.cleared);
        ours.alone |= theirs.alone;
        ours.cleared |= theirs.cleared;
        known != (ours.alone, ours.cleared)
    }

    /// Notes that the request completed; says whether anything counted against it.
    pub(super) fn clear(&mut self) -> bool {
        let mut changed = false;
        for entry in self.entries.values_mut() {
            changed |= !entry.cleared;
            entry.cleared = true;
        }
        changed
    }

    /// How the request may run.
    pub(super) fn verdict(&self, now: MonoTime) -> Verdict {
        let counted = || self.entries.values().filter(|entry| entry.counts(now));
        let alone = counted().filter(|entry| entry.alone).count();
        let total = counted().count();
        if alone < ALONE_LIMIT && total < TOTAL_LIMIT {
            return if total == 0 {
                Verdict::Run
            } else {
                Verdict::Alone
            };
        }
        let oldest = counted().map(|entry| entry.at).min();
        let end = oldest.map_or(now, |at| at.after(CRASH_TTL));
        Verdict::Refuse(Refusal {
            reason: Reason::Convicted,
            retry: end.since(now),
        })
    }

    /// Drops what is too old to count.
    pub(super) fn expire(&mut self, now: MonoTime) {
        self.entries
            .retain(|_, entry| now.since(entry.at) < CRASH_TTL);
    }

    /// Whether nothing is known against the request.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When the last crash was reported.
    pub(super) fn last(&self) -> MonoTime {
        let times = self.entries.values().map(|entry| entry.at);
        times.max().unwrap_or(MonoTime::ZERO)
    }

    /// A hash of what counts and counted against the request `print`.
    pub(super) fn digest(&self, print: Fingerprint) -> u64 {
        let mut bytes = print.to_string().into_bytes();
        for (crash, entry) in &self.entries {
            bytes.extend(crash.to_le_bytes());
            bytes.extend([u8::from(entry.alone), u8::from(entry.cleared)]);
        }
        rapidhash_v3(&bytes)
    }

    /// The crashes for a message.
    pub(super) fn marks(&self, now: MonoTime) -> Vec<Mark> {
        let marks = self.entries.iter().map(|(crash, entry)| Mark {
            crash: *crash,
            alone: entry.alone,
            cleared: entry.cleared,
            age: now.since(entry.at),
        });
        marks.collect()
    }
}

impl Entry {
    fn counts(&self, now: MonoTime) -> bool {
        !self.cleared && now.since(self.at) < CRASH_TTL
    }
}

impl Mark {
    /// A crash that was noticed just now.
    pub(super) fn fresh(crash: u64, alone: bool) -> Self {
        Self {
            crash,
            alone,
            cleared: false,
            age: Millis::ZERO,
        }
    }
}
