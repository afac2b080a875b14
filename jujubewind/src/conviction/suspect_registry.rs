//! All requests under suspicion that one entry knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::Crash;
use super::Fingerprint;
use super::Mark;
use super::Suspect;
use super::Verdict;
use super::case::Case;
use super::limits::MAX_CASES;
use super::limits::MAX_SUSPECTS;
use super::limits::SPREAD;
use crate::types::MonoTime;

/// The suspects and the convicted, with what is still to be told of them.
#[derive(Clone, Debug, Default)]
pub struct SuspectRegistry {
    cases: BTreeMap<Fingerprint, Case>,
    left: BTreeMap<Fingerprint, u32>,
    urgent: BTreeSet<Fingerprint>,
}

impl SuspectRegistry {
    /// How the request may run.
    #[must_use]
    pub fn verdict(&self, now: MonoTime, print: Fingerprint) -> Verdict {
        let case = self.cases.get(&print);
        case.map_or(Verdict::Run, |case| case.verdict(now))
    }

    /// Notes that a backend server died while it ran the request, `alone` or with others.
    pub fn record_crash(&mut self, now: MonoTime, print: Fingerprint, crash: &Crash, alone: bool) {
        self.merge_mark(now, print, &Mark::fresh(crash.id(), alone));
    }

    /// Notes that the request completed: what counted against it no longer does.
    pub fn record_completion(&mut self, print: Fingerprint) {
        if self.cases.get_mut(&print).is_some_and(Case::clear) {
            self.urgent.insert(print);
        }
    }

    /// Merges in what another entry tells.
    pub fn merge(&mut self, now: MonoTime, suspects: &[Suspect]) {
        for suspect in suspects {
            for mark in &suspect.marks {
                self.merge_mark(now, suspect.print, mark);
            }
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: MonoTime) {
        for case in self.cases.values_mut() {
            case.expire(now);
        }
        self.cases.retain(|_, case| !case.is_empty());
    }

    /// How many suspects and convicted are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether nobody is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// A digest by which two entries see whether they know the same.
    pub(crate) fn sum(&self) -> u64 {
        let sums = self.cases.iter().map(|(print, case)| case.digest(*print));
        sums.fold(0, |sum, digest| sum ^ digest)
    }

    /// Some of what is known here, if the other side with the digest `sum` knows something else.
    pub(crate) fn missing(&self, now: MonoTime, sum: u64, rng: &mut impl Rng) -> Vec<Suspect> {
        if sum == self.sum() {
            return Vec::new();
        }
        let prints = self.cases.keys().copied().sample(rng, MAX_SUSPECTS);
        self.suspects(now, prints)
    }

    /// What changed since the last call and should be told at once; it is told of again later to
    /// some of `entries` entries.
    pub(crate) fn take_urgent(&mut self, now: MonoTime, entries: usize) -> Vec<Suspect> {
        let sends = SPREAD * (entries + 1).next_power_of_two().ilog2().max(1);
        let mut prints = std::mem::take(&mut self.urgent);
        let rest = prints.iter().nth(MAX_SUSPECTS).copied();
        if let Some(rest) = rest {
            self.urgent = prints.split_off(&rest);
        }
        for print in &prints {
            self.left.insert(*print, sends);
        }
        self.suspects(now, prints)
    }

    /// What changed lately, for one message.
    pub(crate) fn take(&mut self, now: MonoTime) -> Vec<Suspect> {
        let mut order: Vec<(u32, Fingerprint)> = self
            .left
            .iter()
            .map(|(print, left)| (*left, *print))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(MAX_SUSPECTS);
        for (left, print) in &order {
            if *left <= 1 {
                self.left.remove(print);
            } else {
                self.left.insert(*print, left - 1);
            }
        }
        self.suspects(now, order.into_iter().map(|(_, print)| print))
    }

    fn suspects(
        &self,
        now: MonoTime,
        prints: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Suspect> {
        let told = prints.into_iter().filter_map(|print| {
            let marks = self.cases.get(&print)?.marks(now);
            Some(Suspect { print, marks })
        });
        told.collect()
    }

    fn merge_mark(&mut self, now: MonoTime, print: Fingerprint, mark: &Mark) {
        if !self.cases.contains_key(&print) && self.cases.len() >= MAX_CASES {
            self.drop_oldest();
        }
        let case = self.cases.entry(print).or_default();
        if case.merge(now, mark) {
            self.urgent.insert(print);
        }
        if case.is_empty() {
            self.cases.remove(&print);
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.cases.iter().min_by_key(|(_, case)| case.last());
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.cases.remove(&print);
        }
    }
}
