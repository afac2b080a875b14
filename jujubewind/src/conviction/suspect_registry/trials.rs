//! What is refused, and the trials that may end a conviction.

use super::SuspectRegistry;
use crate::conviction::Admission;
use crate::conviction::Fingerprint;
use crate::conviction::Prints;
use crate::conviction::Verdict;
use crate::conviction::crash_history::CrashHistory;
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
        let due = self.trial_due(now, fingerprint, history, REQUEST_TRIAL_PAUSE);
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
        let due = parts.chain(request).filter_map(|(print, pause)| {
            let history = self.histories.get(&print)?;
            let due = self.trial_due(now, print, history, pause);
            Some((due, print, history))
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
        for print in convicted {
            let history = self.histories.get_mut(print);
            if history.is_some_and(|history| history.hold(now.after(span))) {
                self.urgent.insert(*print);
            }
        }
        failed.into_iter().max().unwrap_or_default()
    }

    /// The parts of a request's prompt with crashes that count.
    fn suspected_parts(&self, now: MonoTime, prints: &Prints) -> impl Iterator<Item = Fingerprint> {
        let parts = prints.parts.iter().copied();
        parts.filter(move |part| self.crashes(now, *part) > 0)
    }

    fn trial_due(
        &self,
        now: MonoTime,
        print: Fingerprint,
        history: &CrashHistory,
        pause: Millis,
    ) -> MonoTime {
        let delay = self.turns.delay(print, history.failed_trials(now));
        history.trial_due(now, pause).after(delay)
    }

    fn is_refused_whole(&self, now: MonoTime, prints: &Prints, is_retry: bool) -> bool {
        let history = self.histories.get(&prints.request);
        history.is_some_and(|history| {
            history.is_convicted(now) && (!is_retry || history.failed_trials(now) > 0)
        })
    }
}
