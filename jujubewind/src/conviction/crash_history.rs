//! The crashes attributed to one request.

use std::collections::BTreeMap;

use rapidhash::v3::rapidhash_v3;

use super::Fingerprint;
use super::Mark;
use super::Verdict;
use super::limits::ALONE_LIMIT;
use super::limits::CRASH_TTL;
use super::limits::LATE_RESPONSE;
use super::limits::MAX_MARKS_PER_REQUEST;
use super::limits::TOTAL_LIMIT;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// A reported crash, with the time of the report on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CrashReport {
    alone: bool,
    cleared: bool,
    at: MonoTime,
}

/// The reported crashes of one request, by crash id. Merging is commutative.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    reports: BTreeMap<u64, CrashReport>,
}

impl CrashHistory {
    /// Merges one crash. Returns whether anything changed.
    pub(super) fn merge(&mut self, now: MonoTime, mark: &Mark) -> bool {
        let at = now.micros().saturating_sub(mark.age.get() * 1_000);
        let theirs = CrashReport {
            alone: mark.alone,
            cleared: mark.cleared,
            at: MonoTime::from_micros(at),
        };
        let Some(ours) = self.reports.get_mut(&mark.crash) else {
            if mark.age >= CRASH_TTL || !self.make_room(mark) {
                return false;
            }
            self.reports.insert(mark.crash, theirs);
            return true;
        };
        let known = (ours.alone, ours.cleared);
        ours.alone |= theirs.alone;
        ours.cleared |= theirs.cleared;
        known != (ours.alone, ours.cleared)
    }

    /// Makes room for a crash that counts, if necessary in place of the oldest cleared one. Returns
    /// whether there is room.
    fn make_room(&mut self, mark: &Mark) -> bool {
        if self.reports.len() < MAX_MARKS_PER_REQUEST {
            return true;
        }
        let cleared = self.reports.iter().filter(|(_, report)| report.cleared);
        let oldest = cleared.min_by_key(|(_, report)| report.at);
        let Some(id) = oldest.map(|(id, _)| *id).filter(|_| !mark.cleared) else {
            return false;
        };
        self.reports.remove(&id);
        true
    }

    /// Clears a crash if it was reported long enough ago that a response now is none from before.
    /// Returns whether it was counted.
    pub(super) fn disprove(&mut self, now: MonoTime, crash: u64) -> bool {
        let Some(report) = self.reports.get_mut(&crash) else {
            return false;
        };
        let is_settled = now.since(report.at) >= LATE_RESPONSE;
        is_settled && !std::mem::replace(&mut report.cleared, true)
    }

    /// The number of crashes that count against both.
    pub(super) fn shared(&self, now: MonoTime, other: &Self) -> usize {
        let is_shared = |id| other.reports.get(id).is_some_and(|one| one.is_counted(now));
        self.counted(now).filter(|(id, _)| is_shared(*id)).count()
    }

    /// Clears all crashes after the request completed. Returns whether any was still counted.
    pub(super) fn clear(&mut self) -> bool {
        let mut changed = false;
        for report in self.reports.values_mut() {
            changed |= !report.cleared;
            report.cleared = true;
        }
        changed
    }

    /// Returns how the request may run.
    pub(super) fn verdict(&self, now: MonoTime) -> Verdict {
        let counted = || self.counted(now).map(|(_, report)| report);
        let alone = counted().filter(|report| report.alone).count();
        let total = counted().count();
        if alone < ALONE_LIMIT && total < TOTAL_LIMIT {
            return if total == 0 {
                Verdict::Run
            } else {
                Verdict::Alone
            };
        }
        let oldest = counted().map(|report| report.at).min();
        let end = oldest.map_or(now, |at| at.after(CRASH_TTL));
        Verdict::Refuse(Refusal {
            reason: Reason::Convicted,
            retry: end.since(now),
        })
    }

    /// Returns the crashes that count against the request, by id.
    pub(super) fn counted(&self, now: MonoTime) -> impl Iterator<Item = (&u64, &CrashReport)> {
        let reports = self.reports.iter();
        reports.filter(move |(_, report)| report.is_counted(now))
    }

    /// Removes crashes older than [`CRASH_TTL`].
    pub(super) fn expire(&mut self, now: MonoTime) {
        self.reports
            .retain(|_, report| now.since(report.at) < CRASH_TTL);
    }

    /// Whether no crash of the request is known.
    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the time of the latest report.
    pub(super) fn last(&self) -> MonoTime {
        let times = self.reports.values().map(|report| report.at);
        times.max().unwrap_or(MonoTime::ZERO)
    }

    /// Returns a hash of the counted and cleared crashes of the request `fingerprint`.
    pub(super) fn digest(&self, fingerprint: Fingerprint) -> u64 {
        let mut bytes = fingerprint.to_string().into_bytes();
        for (crash, report) in &self.reports {
            bytes.extend(crash.to_le_bytes());
            bytes.extend([u8::from(report.alone), u8::from(report.cleared)]);
        }
        rapidhash_v3(&bytes)
    }

    /// Returns the crashes in the form sent to other entries.
    pub(super) fn marks(&self, now: MonoTime) -> Vec<Mark> {
        let marks = self.reports.iter().map(|(crash, report)| Mark {
            crash: *crash,
            alone: report.alone,
            cleared: report.cleared,
            age: now.since(report.at),
        });
        marks.collect()
    }
}

impl CrashReport {
    fn is_counted(&self, now: MonoTime) -> bool {
        !self.cleared && now.since(self.at) < CRASH_TTL
    }
}

impl Mark {
    /// Creates the mark of a crash detected just now.
    pub(super) fn fresh(crash: u64, alone: bool) -> Self {
        Self {
            crash,
            alone,
            cleared: false,
            age: Millis::ZERO,
        }
    }
}
