//! The suspected requests known to one entry.

mod keeping;
mod trials;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::Crash;
use super::Fingerprint;
use super::Mark;
use super::Prints;
use super::Suspect;
use super::crash_history::CrashHistory;
use super::kept::Kept;
use super::limits::MAX_HISTORIES;
use super::limits::MAX_SUSPECTS_PER_MESSAGE;
use super::limits::SENDS_PER_DOUBLING;
use super::limits::TOTAL_LIMIT;
use super::turns::Turns;
use crate::types::MonoTime;
use crate::types::NodeId;

/// The crash histories of suspected and convicted requests, and the changes still to be gossiped.
#[derive(Clone, Debug, Default)]
pub struct SuspectRegistry {
    histories: BTreeMap<Fingerprint, CrashHistory>,
    remaining_sends: BTreeMap<Fingerprint, u32>,
    urgent: BTreeSet<Fingerprint>,
    turns: Turns,
    /// What this entry has on trial.
    trials: BTreeSet<Fingerprint>,
    kept: Kept,
}

impl SuspectRegistry {
    /// Creates the registry of an entry that knows no other.
    #[must_use]
    pub fn of(node: &NodeId) -> Self {
        Self {
            turns: Turns::of(node),
            ..Self::default()
        }
    }

    /// Sets the number of entries that share what they suspect.
    pub fn set_entries(&mut self, entries: usize) {
        self.turns.set_entries(entries);
    }

    /// Returns the convicted parts of a request's prompt.
    ///
    /// Crashes that something else explains, which this request lacks, count against no part: all
    /// those of what failed a trial, and of one other suspect if so few are left without them that
    /// they convict nothing. Of two suspects that explain each other's crashes only the one that is
    /// more to blame excuses the other, so that what ends servers is always among the convicted ones;
    /// trials tell two that are alike apart.
    fn convicted_parts(&self, now: MonoTime, prints: &Prints) -> Vec<Fingerprint> {
        let blamed = |part: &&Fingerprint| self.is_blamed(now, **part, &prints.parts);
        prints.parts.iter().filter(blamed).copied().collect()
    }

    fn is_blamed(&self, now: MonoTime, part: Fingerprint, parts: &[Fingerprint]) -> bool {
        let Some(history) = self.histories.get(&part) else {
            return false;
        };
        let mut crashes: Vec<u64> = history.counted(now).map(|(id, _)| *id).collect();
        if crashes.len() < TOTAL_LIMIT {
            return false;
        }
        let others = self.histories.iter();
        let absent = others.filter(|(print, _)| !parts.contains(print));
        let absent: Vec<&CrashHistory> = absent.map(|(_, other)| other).collect();
        for proven in absent.iter().filter(|other| self.is_proven(now, other)) {
            crashes.retain(|id| !proven.counts(now, *id));
        }
        let explains_all_of = |other: &CrashHistory| {
            let crashes: Vec<u64> = other.counted(now).map(|(id, _)| *id).collect();
            history.explains(now, &crashes)
        };
        let blame = history.innocence(now);
        let excuses = |other: &&CrashHistory| {
            let is_worse = other.innocence(now) < blame;
            // Their requests are refused for both, so that the two do not excuse each other.
            let is_beside = other.is_always_with(part);
            other.explains(now, &crashes) && (is_worse || is_beside || !explains_all_of(other))
        };
        crashes.len() >= TOTAL_LIMIT && !absent.iter().any(excuses)
    }

    /// Whether a trial has shown that something ends servers. What is sound may have stood beside a
    /// fatal part, and so may what was on trial as something that is more to blame ended its server.
    fn is_proven(&self, now: MonoTime, history: &CrashHistory) -> bool {
        if history.is_sound() || history.counted(now).count() < TOTAL_LIMIT {
            return false;
        }
        let blame = history.innocence(now);
        let is_disputed = |id: u64| {
            let mut others = self.histories.values();
            others.any(|other| other.counts(now, id) && other.innocence(now) < blame)
        };
        history.trials(now).any(|id| !is_disputed(id))
    }

    /// Records that a backend server responds, so that it did not crash at the report with the id
    /// `crash`.
    pub fn record_alive(&mut self, now: MonoTime, crash: u64) {
        for (fingerprint, history) in &mut self.histories {
            if history.disprove(now, crash) {
                self.urgent.insert(*fingerprint);
                let is_convicted = history.counted(now).count() >= TOTAL_LIMIT;
                self.kept.record_change(*fingerprint, is_convicted);
            }
        }
    }

    /// Returns the number of crashes that are counted against the request.
    #[must_use]
    pub fn crashes(&self, now: MonoTime, fingerprint: Fingerprint) -> usize {
        let history = self.histories.get(&fingerprint);
        history.map_or(0, |history| history.counted(now).count())
    }

    /// Records that a backend server crashed while it ran the request, `alone` or with others.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        fingerprint: Fingerprint,
        crash: &Crash,
        alone: bool,
    ) {
        let trial = self.trials.remove(&fingerprint);
        let mark = Mark::fresh(crash.id(), alone, trial);
        self.kept.record_own(fingerprint);
        self.merge_mark(now, fingerprint, &mark);
    }

    /// Records what a request that crashed a server held.
    pub fn record_companions(&mut self, prints: &Prints) {
        for print in prints.iter() {
            if let Some(history) = self.histories.get_mut(&print) {
                history.record_companions(prints);
            }
        }
    }

    /// Records that an answer to something suspected went on before it crashed a server.
    pub fn mark_sound(&mut self, fingerprint: Fingerprint) {
        let history = self.histories.get_mut(&fingerprint);
        if history.is_some_and(CrashHistory::mark_sound) {
            self.urgent.insert(fingerprint);
        }
    }

    /// Records that the request completed, which clears its crashes.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) {
        self.trials.remove(&fingerprint);
        if self
            .histories
            .get_mut(&fingerprint)
            .is_some_and(CrashHistory::clear)
        {
            self.urgent.insert(fingerprint);
        }
    }

    /// Merges suspects received from another entry.
    pub fn merge(&mut self, now: MonoTime, suspects: &[Suspect]) {
        for suspect in suspects {
            for mark in &suspect.marks {
                self.merge_mark(now, suspect.print, mark);
            }
            if let Some(history) = self.histories.get_mut(&suspect.print) {
                history.hold(now.after(suspect.held));
                if suspect.sound {
                    history.mark_sound();
                }
            }
        }
    }

    /// Removes expired crashes.
    pub fn expire(&mut self, now: MonoTime) {
        for history in self.histories.values_mut() {
            history.expire(now);
        }
        self.histories.retain(|_, history| !history.is_empty());
        let histories = &self.histories;
        self.trials.retain(|print| histories.contains_key(print));
        self.kept.expire(now, |print| histories.contains_key(print));
    }

    /// Returns the number of suspected and convicted requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Returns a digest for comparing the registries of two entries.
    pub(crate) fn sum(&self) -> u64 {
        let sums = self
            .histories
            .iter()
            .map(|(fingerprint, history)| history.digest(*fingerprint));
        sums.fold(0, |sum, digest| sum ^ digest)
    }

    /// Returns a random sample of suspects if the digest `sum` of the other side differs.
    pub(crate) fn missing(&self, now: MonoTime, sum: u64, rng: &mut impl Rng) -> Vec<Suspect> {
        if sum == self.sum() {
            return Vec::new();
        }
        let fingerprints = self
            .histories
            .keys()
            .copied()
            .sample(rng, MAX_SUSPECTS_PER_MESSAGE);
        self.suspects(now, fingerprints)
    }

    /// Takes the changes since the last call, to be sent at once, and schedules further sends:
    /// their number grows with the logarithm of `entries`.
    pub(crate) fn take_urgent(&mut self, now: MonoTime, entries: usize) -> Vec<Suspect> {
        let sends = SENDS_PER_DOUBLING * (entries + 1).next_power_of_two().ilog2().max(1);
        let mut fingerprints = std::mem::take(&mut self.urgent);
        let rest = fingerprints.iter().nth(MAX_SUSPECTS_PER_MESSAGE).copied();
        if let Some(rest) = rest {
            self.urgent = fingerprints.split_off(&rest);
        }
        for fingerprint in &fingerprints {
            self.remaining_sends.insert(*fingerprint, sends);
        }
        self.suspects(now, fingerprints)
    }

    /// Takes recent changes for one message, those with the most remaining sends first.
    pub(crate) fn take(&mut self, now: MonoTime) -> Vec<Suspect> {
        let mut order: Vec<(u32, Fingerprint)> = self
            .remaining_sends
            .iter()
            .map(|(fingerprint, left)| (*left, *fingerprint))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(MAX_SUSPECTS_PER_MESSAGE);
        for (left, fingerprint) in &order {
            if *left <= 1 {
                self.remaining_sends.remove(fingerprint);
            } else {
                self.remaining_sends.insert(*fingerprint, left - 1);
            }
        }
        self.suspects(now, order.into_iter().map(|(_, fingerprint)| fingerprint))
    }

    /// Returns what has enough crashes to be refused, for an entry that has not heard of it.
    #[must_use]
    pub fn convicted(&self, now: MonoTime) -> Vec<Suspect> {
        let is_convicted = |history: &CrashHistory| history.counted(now).count() >= TOTAL_LIMIT;
        let histories = self.histories.iter();
        let convicted = histories.filter(|(_, history)| is_convicted(history));
        self.suspects(now, convicted.map(|(fingerprint, _)| *fingerprint))
    }

    fn suspects(
        &self,
        now: MonoTime,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Suspect> {
        let suspects = fingerprints.into_iter().filter_map(|fingerprint| {
            let history = self.histories.get(&fingerprint)?;
            Some(Suspect {
                print: fingerprint,
                marks: history.marks(now),
                sound: history.is_sound(),
                held: history.held(now),
            })
        });
        suspects.collect()
    }

    fn merge_mark(&mut self, now: MonoTime, fingerprint: Fingerprint, mark: &Mark) {
        if !self.histories.contains_key(&fingerprint) && self.histories.len() >= MAX_HISTORIES {
            self.drop_oldest(now);
        }
        let history = self.histories.entry(fingerprint).or_default();
        if history.merge(now, mark) {
            self.urgent.insert(fingerprint);
            let is_convicted = history.counted(now).count() >= TOTAL_LIMIT;
            self.kept.record_change(fingerprint, is_convicted);
        }
        if history.is_empty() {
            self.histories.remove(&fingerprint);
        }
    }

    /// Drops the oldest history among those with the fewest crashes that count.
    fn drop_oldest(&mut self, now: MonoTime) {
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| (history.counted(now).count(), history.last()));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.histories.remove(&fingerprint);
        }
    }
}
