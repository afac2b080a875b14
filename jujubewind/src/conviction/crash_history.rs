//! The crashes attributed to one request.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rapidhash::v3::rapidhash_v3;

use super::Fingerprint;
use super::Mark;
use super::Prints;
use super::Verdict;
use super::limits::ALONE_LIMIT;
use super::limits::CRASH_TTL;
use super::limits::LATE_RESPONSE;
use super::limits::MAX_MARKS_PER_REQUEST;
use super::limits::TOTAL_LIMIT;
use super::limits::TRIAL_BACKOFF;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// A reported crash, with the time of the report on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CrashReport {
    alone: bool,
    cleared: bool,
    trial: bool,
    at: MonoTime,
}

/// The reported crashes of one request, by crash id. Merging is commutative.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    reports: BTreeMap<u64, CrashReport>,
    /// Whether an answer to it has gone on before.
    sound: bool,
    /// Until when a trial that has begun excludes others.
    held: MonoTime,
    /// What was in each request with it that crashed a server through this entry; `None` if there
    /// was none.
    companions: Option<BTreeSet<Fingerprint>>,
}

impl CrashHistory {
    /// Merges one crash. Returns whether anything changed.
    pub(super) fn merge(&mut self, now: MonoTime, mark: &Mark) -> bool {
        let at = now.micros().saturating_sub(mark.age.get() * 1_000);
        let theirs = CrashReport {
            alone: mark.alone,
            cleared: mark.cleared,
            trial: mark.trial,
            at: MonoTime::from_micros(at),
        };
        let Some(ours) = self.reports.get_mut(&mark.crash) else {
            if mark.age >= CRASH_TTL || !self.make_room(mark) {
                return false;
            }
            self.reports.insert(mark.crash, theirs);
            return true;
        };
        let known = (ours.alone, ours.cleared, ours.trial);
        ours.alone |= theirs.alone;
        ours.cleared |= theirs.cleared;
        ours.trial |= theirs.trial;
        if theirs.trial && theirs.at.since(ours.at) >= LATE_RESPONSE {
            ours.at = theirs.at;
        }
        known != (ours.alone, ours.cleared, ours.trial)
    }

    /// Makes room for a crash that counts, if necessary in place of the oldest cleared one, or for one
    /// on trial in place of the oldest other one. Returns whether there is room.
    fn make_room(&mut self, mark: &Mark) -> bool {
        if self.reports.len() < MAX_MARKS_PER_REQUEST {
            return true;
        }
        let may_go = |report: &CrashReport| report.cleared || (mark.trial && !report.trial);
        let others = self.reports.iter().filter(|(_, report)| may_go(report));
        let oldest = others.min_by_key(|(_, report)| (!report.cleared, report.at));
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

    /// Whether this crash counts against it.
    pub(super) fn counts(&self, now: MonoTime, crash: u64) -> bool {
        let report = self.reports.get(&crash);
        report.is_some_and(|report| report.is_counted(now))
    }

    /// Records what was in a request with it that crashed a server.
    pub(super) fn record_companions(&mut self, prints: &Prints) {
        match &mut self.companions {
            Some(companions) => companions.retain(|one| prints.iter().any(|print| print == *one)),
            None => self.companions = Some(prints.iter().collect()),
        }
    }

    /// Whether all its crashes through this entry were of requests with `print`.
    pub(super) fn is_always_with(&self, print: Fingerprint) -> bool {
        let companions = self.companions.as_ref();
        companions.is_some_and(|companions| companions.contains(&print))
    }

    /// Whether these crashes are its own, but for so few that they convict nothing. What is sound
    /// explains none but those that it was at.
    pub(super) fn explains(&self, now: MonoTime, crashes: &[u64]) -> bool {
        let shared = crashes.iter().filter(|id| self.counts(now, **id)).count();
        let left = crashes.len() - shared;
        left == 0 || (shared >= TOTAL_LIMIT && left < TOTAL_LIMIT && !self.sound)
    }

    /// Clears all crashes after the request completed. Returns whether any was still counted.
    pub(super) fn clear(&mut self) -> bool {
        self.sound = true;
        let mut changed = false;
        for report in self.reports.values_mut() {
            changed |= !report.cleared;
            report.cleared = true;
        }
        changed
    }

    /// Returns how the request may run, if a trial of it is due at `due`.
    pub(super) fn verdict(&self, now: MonoTime, due: MonoTime) -> Verdict {
        if !self.is_convicted(now) {
            return if self.counted(now).next().is_none() {
                Verdict::Run
            } else {
                Verdict::Alone
            };
        }
        if due <= now {
            return Verdict::Trial;
        }
        Verdict::Refuse(self.refusal(now, due))
    }

    /// Whether the crashes that count are enough to refuse the request.
    pub(super) fn is_convicted(&self, now: MonoTime) -> bool {
        let counted = || self.counted(now).map(|(_, report)| report);
        let alone = counted().filter(|report| report.alone).count();
        alone >= ALONE_LIMIT || counted().count() >= TOTAL_LIMIT
    }

    /// The refusal until a trial is due at `due` or the conviction expires.
    pub(super) fn refusal(&self, now: MonoTime, due: MonoTime) -> Refusal {
        let oldest = self.counted(now).map(|(_, report)| report.at).min();
        let end = oldest.map_or(now, |at| at.after(CRASH_TTL));
        Refusal {
            reason: Reason::Convicted,
            retry: now.until(end.min(due)),
        }
    }

    /// When the next trial is due after this many `failed`, if the first one is `pause` after the last
    /// crash.
    pub(super) fn trial_due(&self, now: MonoTime, pause: Millis, failed: usize) -> MonoTime {
        let last = self.counted(now).map(|(_, report)| report.at).max();
        let failed = u32::try_from(failed).unwrap_or(u32::MAX);
        let factor = TRIAL_BACKOFF.saturating_pow(failed);
        let pause = Millis(pause.get().saturating_mul(factor));
        last.unwrap_or(now).after(pause).max(self.held)
    }

    /// The number of trials of it that ended with a crash.
    pub(super) fn failed_trials(&self, now: MonoTime) -> usize {
        self.trials(now).count()
    }

    /// The crashes of its trials.
    pub(super) fn trials(&self, now: MonoTime) -> impl Iterator<Item = u64> {
        let trials = self.counted(now).filter(|(_, report)| report.trial);
        trials.map(|(id, _)| *id)
    }

    /// How little of a crash is to be blamed on it rather than on something beside it.
    pub(super) fn innocence(&self, now: MonoTime) -> (bool, Reverse<usize>) {
        (self.sound, Reverse(self.counted(now).count()))
    }

    /// Whether an answer to it has gone on before.
    pub(super) fn is_sound(&self) -> bool {
        self.sound
    }

    /// Records that an answer to it has gone on before. Returns whether that is news.
    pub(super) fn mark_sound(&mut self) -> bool {
        !std::mem::replace(&mut self.sound, true)
    }

    /// Excludes other trials until then. Returns whether anything changed.
    pub(super) fn hold(&mut self, until: MonoTime) -> bool {
        let is_later = until > self.held;
        self.held = self.held.max(until);
        is_later
    }

    /// How much longer a trial excludes others.
    pub(super) fn held(&self, now: MonoTime) -> Millis {
        self.held.since(now)
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
            let flags = [report.alone, report.cleared, report.trial];
            bytes.extend(flags.map(u8::from));
        }
        rapidhash_v3(&bytes)
    }

    /// Returns the crashes in the form sent to other entries.
    pub(super) fn marks(&self, now: MonoTime) -> Vec<Mark> {
        let marks = self.reports.iter().map(|(crash, report)| Mark {
            crash: *crash,
            alone: report.alone,
            cleared: report.cleared,
            trial: report.trial,
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
    pub(super) fn fresh(crash: u64, alone: bool, trial: bool) -> Self {
        Self {
            crash,
            alone,
            cleared: false,
            trial,
            age: Millis::ZERO,
        }
    }
}
