//! Engine crashes, and quarantine of the attempts that are suspected of causing them.

use super::Attempt;
use super::Command;
use super::Core;
use super::Ending;
use super::RETRY_DOWN;
use super::Step;
use super::refusal;
use crate::conviction::Crash;
use crate::refusal::Reason;
use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;

impl Core {
    /// Ends an attempt that the engine aborted; an engine that answers with another incarnation, or
    /// not at all, has crashed.
    pub(super) fn handle_failure(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        incarnation: Option<Incarnation>,
    ) -> Vec<Command> {
        let had = self
            .attempts
            .get(&id)
            .and_then(|attempt| attempt.engine_incarnation);
        let crash = had.filter(|had| incarnation != Some(*had));
        self.engine_down |= crash.is_some() && had == self.engine_incarnation;
        self.scheduler.record_end(now, id);
        let crash = crash.map(|incarnation| self.crash(incarnation));
        self.finish(now, id, Step::Fail, Ending::Failed { crash })
    }

    /// Ends an attempt that the engine no longer has.
    pub(super) fn handle_loss(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        let had = self
            .attempts
            .get(&id)
            .and_then(|attempt| attempt.engine_incarnation);
        let crash = had.filter(|had| self.engine_incarnation != Some(*had));
        let crash = crash.map(|incarnation| self.crash(incarnation));
        self.finish(now, id, Step::Fail, Ending::Failed { crash })
    }

    fn crash(&self, incarnation: Incarnation) -> Crash {
        Crash {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            number: incarnation.get(),
        }
    }

    /// Admits the next quarantined attempt once no other attempt is open.
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
        let busy = open.any(|a| !self.quarantine.contains(a.id()));
        if busy || self.engine_down {
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

    /// Refuses quarantined duplicates of a request that crashed the engine while it ran alone; the
    /// entry decides on them.
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
            let ending = Ending::Refused(refusal(Reason::BackendDown, RETRY_DOWN));
            commands.extend(self.finish(now, duplicate, Step::Refuse, ending));
        }
        commands
    }
}
