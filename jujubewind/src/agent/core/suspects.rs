//! Engine crashes, and the quarantine in which suspected requests run alone.

use super::Attempt;
use super::Command;
use super::Core;
use super::ENGINE_DOWN_RETRY_DELAY;
use super::Ending;
use super::Step;
use super::refusal;
use crate::conviction::Crash;
use crate::refusal::Reason;
use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;

impl Core {
    /// Ends an attempt that the engine aborted. `incarnation` is what the engine reported
    /// afterwards: if it differs from the attempt's, or there is none, the engine has crashed.
    pub(super) fn handle_failure(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        incarnation: Option<Incarnation>,
    ) -> Vec<Command> {
        let crashed = self.crashed_incarnation(id, incarnation);
        self.engine_down |= crashed.is_some() && crashed == self.engine_incarnation;
        self.scheduler.record_end(now, id);
        let crash = crashed.map(|crashed| self.crash(crashed));
        self.finish(now, id, Step::Fail, Ending::Failed { crash })
    }

    /// Ends an attempt that the engine no longer has.
    pub(super) fn handle_loss(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        let crashed = self.crashed_incarnation(id, self.engine_incarnation);
        let crash = crashed.map(|crashed| self.crash(crashed));
        self.finish(now, id, Step::Fail, Ending::Failed { crash })
    }

    /// The engine incarnation that ran the attempt, if it is not the `current` one.
    fn crashed_incarnation(
        &self,
        id: AttemptId,
        current: Option<Incarnation>,
    ) -> Option<Incarnation> {
        let used = self.attempts.get(&id)?.engine_incarnation;
        used.filter(|used| current != Some(*used))
    }

    fn crash(&self, incarnation: Incarnation) -> Crash {
        Crash {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            number: incarnation.get(),
        }
    }

    /// Admits the next quarantined attempt once all attempts outside the quarantine have ended.
    pub(super) fn admit_isolated(&mut self, now: MonoTime) -> Vec<Command> {
        let Self {
            quarantine,
            attempts,
            ..
        } = self;
        quarantine.retain(|id| attempts.get(&id).is_some_and(Attempt::is_open));
        let Some(next) = self.quarantine.next() else {
            return Vec::new();
        };
        let mut open = self.attempts.values().filter(|a| a.is_open());
        let is_busy = open.any(|a| !self.quarantine.contains(a.id()));
        if is_busy || self.engine_down {
            return Vec::new();
        }
        self.quarantine.start_next();
        let attempt = &self.attempts[&next];
        let mut job = self.job(&attempt.start.quote);
        job.remaining = attempt.deadline.since(now);
        match self.scheduler.admit(now, job) {
            Ok(()) => Vec::new(),
            Err(refusal) => self.finish(now, next, Step::Refuse, Ending::Refused(refusal)),
        }
    }

    /// Ends quarantined attempts that are past their deadline or that no entry pulls any more.
    pub(super) fn expire_quarantine(&mut self, now: MonoTime) -> Vec<Command> {
        let mut commands = Vec::new();
        for id in self.quarantine.waiting() {
            let attempt = &self.attempts[&id];
            let reason = if now >= attempt.deadline {
                Reason::DeadlinePassed
            } else if now >= attempt.last_access.after(self.settings.orphan) {
                Reason::Cancelled
            } else {
                continue;
            };
            let ending = Ending::Refused(refusal(reason, Millis::ZERO));
            commands.extend(self.finish(now, id, Step::Refuse, ending));
        }
        commands
    }

    /// Refuses quarantined duplicates of a request that crashed the engine while it ran alone;
    /// their entry decides whether they are tried again.
    pub(super) fn refuse_duplicates(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        let Some(attempt) = self.attempts.get(&id) else {
            return Vec::new();
        };
        let waiting = self.quarantine.waiting().into_iter();
        let duplicates: Vec<AttemptId> = waiting
            .filter(|other| {
                let other = self.attempts.get(other);
                other.is_some_and(|other| other.id() != id && other.is_duplicate(attempt))
            })
            .collect();
        let mut commands = Vec::new();
        for duplicate in duplicates {
            let ending = Ending::Refused(refusal(Reason::BackendDown, ENGINE_DOWN_RETRY_DELAY));
            commands.extend(self.finish(now, duplicate, Step::Refuse, ending));
        }
        commands
    }
}
