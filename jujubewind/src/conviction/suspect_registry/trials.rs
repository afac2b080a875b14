//! What is refused, and the trials that may end a conviction.

use std::collections::BTreeSet;

use super::SuspectRegistry;
use crate::conviction::Admission;
use crate::conviction::Fingerprint;
use crate::conviction::Prints;
use crate::conviction::Verdict;
use crate::conviction::crash_history::CrashHistory;
use crate::conviction::limits::MAX_DOUBTFUL_TRIALS;
use crate::conviction::limits::PART_TRIAL_PAUSE;
use crate::conviction::limits::REQUEST_TRIAL_PAUSE;
use crate::types::Millis;
use crate::types::MonoTime;

impl SuspectRegistry {
    /// Returns how the request may run.
    #[must_use]
    pub fn verdict(&self, now: MonoTime, fingerprint: Fingerprint) -> Verdict {
        let Some(history) = self.histories.get(&fingerprint) else {
            return Verdict::Run;
        };
        let failed = history.failed_trials(now);
        let due = self.trial_due(now, fingerprint, history, REQUEST_TRIAL_PAUSE, failed);
        history.verdict(now, due)
    }

    /// Returns whether a request may run. Its repetitions are limited by the route and the retry
    /// budget, so one that `is_retry` is refused as a whole only if it was a trial.
    #[must_use]
    pub fn admission(&self, now: MonoTime, prints: &Prints, is_retry: bool) -> Admission {
        let parts = self.convicted_parts(now, prints);
        // Requests with fewer suspects go first: they tell more of each.
        let suspects = self.suspected_parts(now, prints).count() as u64;
        let pause = PART_TRIAL_PAUSE.get() * suspects;
        let parts = parts.into_iter().map(|part| (part, Millis(pause)));
        let request = (prints.request, REQUEST_TRIAL_PAUSE);
        let request = Some(request).filter(|_| self.is_refused_whole(now, prints, is_retry));
        let convicted = parts.chain(request).filter_map(|(print, pause)| {
            let history = self.histories.get(&print)?;
            Some((print, pause, history))
        });
        let convicted: Vec<(Fingerprint, Millis, &CrashHistory)> = convicted.collect();
        if convicted.is_empty() {
            return Admission::Run;
        }
        let histories = convicted.iter().map(|(.., history)| *history);
        let failed = self.failed_trials(now, prints, histories);
        let due = convicted.into_iter().map(|(print, pause, history)| {
            let due = self.trial_due(now, print, history, pause, failed);
            (due, print, history)
        });
        let due: Vec<(MonoTime, Fingerprint, &CrashHistory)> = due.collect();
        match due.iter().max_by_key(|(due, ..)| *due) {
            None => Admission::Run,
            Some((due, print, history)) if *due > now => {
                Admission::Refuse(*print, history.refusal(now, *due))
            }
            Some(_) => Admission::Trial(due.iter().map(|(_, print, _)| *print).collect()),
        }
    }

    /// Records that a trial of what is `convicted` in a request begins, which excludes others for
    /// `span`. A crash is held against what is most to blame. Returns how many trials of that have
    /// failed.
    pub fn begin_trial(
        &mut self,
        now: MonoTime,
        prints: &Prints,
        convicted: &[Fingerprint],
        span: Millis,
    ) -> usize {
        let whole = convicted
            .contains(&prints.request)
            .then_some(prints.request);
        let suspects = self.suspected_parts(now, prints).chain(whole);
        let suspects: Vec<(Fingerprint, &CrashHistory)> = suspects
            .filter_map(|print| Some((print, self.histories.get(&print)?)))
            .collect();
        let innocence = |(_, history): &(Fingerprint, &CrashHistory)| history.innocence(now);
        let least = suspects.iter().map(innocence).min();
        let blamed = suspects.iter().filter(|one| Some(innocence(one)) == least);
        let (blamed, failed): (Vec<Fingerprint>, Vec<usize>) = blamed
            .map(|(print, history)| (*print, history.failed_trials(now)))
            .unzip();
        self.trials.extend(blamed);
        for print in self.tied_to(now, convicted) {
            let history = self.histories.get_mut(&print);
            if history.is_some_and(|history| history.hold(now.after(span))) {
                self.urgent.insert(print);
            }
        }
        failed.into_iter().max().unwrap_or_default()
    }

    /// What these trials exclude meanwhile: what is convicted by one of the same crashes, as two trials
    /// at one server would tell nothing of either.
    fn tied_to(&self, now: MonoTime, convicted: &[Fingerprint]) -> Vec<Fingerprint> {
        let histories = convicted
            .iter()
            .filter_map(|print| self.histories.get(print));
        let crashes: BTreeSet<u64> = histories
            .flat_map(|history| history.counted(now).map(|(id, _)| *id))
            .collect();
        let is_tied = |print: &Fingerprint, history: &CrashHistory| {
            let shares = crashes.iter().any(|id| history.counts(now, *id));
            convicted.contains(print) || (shares && history.is_convicted(now))
        };
        let histories = self.histories.iter();
        let tied = histories.filter(|(print, history)| is_tied(print, history));
        tied.map(|(print, _)| *print).collect()
    }

    /// The parts of a request's prompt with crashes that count.
    fn suspected_parts(&self, now: MonoTime, prints: &Prints) -> impl Iterator<Item = Fingerprint> {
        let parts = prints.parts.iter().copied();
        parts.filter(move |part| self.crashes(now, *part) > 0)
    }

    /// The number of failed trials that count against a request with these convicted parts. A trial
    /// whose crash may be due to a suspect with other crashes, which this request lacks, does not
    /// count, up to [`MAX_DOUBTFUL_TRIALS`] of them.
    fn failed_trials<'a>(
        &self,
        now: MonoTime,
        prints: &Prints,
        convicted: impl Iterator<Item = &'a CrashHistory>,
    ) -> usize {
        let absent = self.histories.iter();
        let absent = absent.filter(|(print, _)| !prints.iter().any(|own| own == **print));
        let suspects: Vec<&CrashHistory> = absent
            .map(|(_, other)| other)
            .filter(|other| !other.is_sound() && other.counted(now).count() > 1)
            .collect();
        let is_doubtful = |id: &u64| suspects.iter().any(|other| other.counts(now, *id));
        let trials = self.histories.values().flat_map(|one| one.trials(now));
        let trials: BTreeSet<u64> = trials.collect();
        let count = |history: &CrashHistory| {
            let tried = trials.iter().filter(|id| history.counts(now, **id));
            let doubtful = tried.clone().filter(|id| is_doubtful(id)).count();
            tried.count() - doubtful.min(MAX_DOUBTFUL_TRIALS)
        };
        convicted.map(count).max().unwrap_or_default()
    }

    /// When a trial is due after this many `failed`.
    fn trial_due(
        &self,
        now: MonoTime,
        print: Fingerprint,
        history: &CrashHistory,
        pause: Millis,
        failed: usize,
    ) -> MonoTime {
        let delay = self.turns.delay(print, failed);
        history.trial_due(now, pause, failed).after(delay)
    }

    fn is_refused_whole(&self, now: MonoTime, prints: &Prints, is_retry: bool) -> bool {
        let history = self.histories.get(&prints.request);
        history.is_some_and(|history| {
            history.is_convicted(now) && (!is_retry || history.failed_trials(now) > 0)
        })
    }
}
