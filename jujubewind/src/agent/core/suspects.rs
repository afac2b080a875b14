//! Deaths of the engine, and attempts that run alone because they are suspected of them.

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
    /// Ends an attempt that the engine broke off; an engine that answers under another start
    /// number, or not at all, has died.
    pub(super) fn failed(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        life: Option<Incarnation>,
    ) -> Vec<Command> {
        let had = self.attempts.get(&id).and_then(|attempt| attempt.life);
        let crash = had.filter(|had| life != Some(*had));
        self.down |= crash.is_some() && had == self.engine;
        self.scheduler.record_end(now, id);
        let crash = crash.map(|life| self.crash(life));
        self.finish(now, id, Step::Fail, Ending::Failed { crash })
    }

    /// Ends an attempt that the engine no longer has.
    pub(super) fn lost(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        let had = self.attempts.get(&id).and_then(|attempt| attempt.life);
        let crash = had.filter(|had| self.engine != Some(*had));
        let crash = crash.map(|life| self.crash(life));
        self.finish(now, id, Step::Fail, Ending::Failed { crash })
    }

    fn crash(&self, life: Incarnation) -> Crash {
        Crash {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            number: life.get(),
        }
    }

    /// Gives the next attempt that runs alone to the scheduler, once nothing else is left.
    pub(super) fn take_turn(&mut self, now: MonoTime) -> Vec<Command> {
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
        if busy || self.down {
            return Vec::new();
        }
        self.quarantine.begin();
        let attempt = &self.attempts[&next];
        let mut job = self.job(&attempt.start.quote);
        job.remaining = attempt.deadline.since(now);
        match self.scheduler.admit(now, job) {
            Ok(()) => Vec::new(),
            Err(refusal) => self.finish(now, next, Step::Refuse, Ending::Refused(refusal)),
        }
    }

    /// Ends those that wait to run alone but whose time is over or whom nobody asks for.
    pub(super) fn expire_quarantine(&mut self, now: MonoTime) -> Vec<Command> {
        let mut commands = Vec::new();
        for id in self.quarantine.waiting() {
            let attempt = &self.attempts[&id];
            let reason = if now >= attempt.deadline {
                Reason::DeadlinePassed
            } else if now >= attempt.touched.after(self.settings.orphan) {
                Reason::Cancelled
            } else {
                continue;
            };
            let ending = Ending::Refused(refusal(reason, Millis::ZERO));
            commands.extend(self.finish(now, id, Step::Refuse, ending));
        }
        commands
    }

    /// Sends copies of a request that crashed the engine alone back to where it is judged.
    pub(super) fn refuse_copies(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        let Some(attempt) = self.attempts.get(&id) else {
            return Vec::new();
        };
        let waiting = self.quarantine.waiting().into_iter();
        let copies: Vec<AttemptId> = waiting
            .filter(|other| {
                let other = self.attempts.get(other);
                other.is_some_and(|other| other.id() != id && other.is_copy(attempt))
            })
            .collect();
        let mut commands = Vec::new();
        for copy in copies {
            let ending = Ending::Refused(refusal(Reason::BackendDown, RETRY_DOWN));
            commands.extend(self.finish(now, copy, Step::Refuse, ending));
        }
        commands
    }
}
