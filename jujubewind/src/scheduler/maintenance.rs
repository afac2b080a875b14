//! Ends attempts that expired, missed their deadline or were lost by the engine.

use super::Action;
use super::ListedSequence;
use super::Phase;
use super::ReservationState;
use super::Work;
use super::backlog::Backlog;
use super::state::State;
use super::task::Task;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

/// How long an attempt may be missing from the engine's list after it was submitted.
const SETTLING: Work = Work(2_000_000);

/// One maintenance pass over the state.
#[derive(Debug)]
pub struct Maintenance<'a> {
    state: &'a mut State,
    now: MonoTime,
}

impl<'a> Maintenance<'a> {
    /// Starts a pass at `now`.
    #[must_use]
    pub fn new(state: &'a mut State, now: MonoTime) -> Self {
        Self { state, now }
    }

    /// Ends attempts that were not renewed or can no longer meet their deadline.
    pub fn expire(mut self) {
        let now = self.now;
        self.state.ended.prune(now);
        self.state
            .pending_part
            .take_if(|pending| pending.until <= now);
        let retry = self.state.settings.ttl;
        for attempt in self.state.ledger.expire(now, retry) {
            self.end(attempt, Reason::Cancelled, Millis::ZERO);
        }
        for attempt in self.overdue() {
            self.end(attempt, Reason::DeadlinePassed, Millis::ZERO);
        }
        if self.state.settings.admission {
            self.expire_late();
        }
    }

    /// Ends waiting work as soon as it is predicted late, so that its caller does not wait in vain.
    fn expire_late(&mut self) {
        for (attempt, lateness) in Backlog::new(self.state, self.now).late_attempts() {
            self.end(attempt, Reason::NoTime, lateness.millis());
        }
    }

    /// Cancels an attempt and prevents any later start; `true` if it never reached the engine.
    pub fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.state
            .pending_part
            .take_if(|pending| pending.attempt == attempt);
        match self.state.tasks.get_mut(&attempt) {
            Some(task) if task.phase != Phase::Waiting => {
                task.phase = Phase::Ending;
                task.since = self.now;
                self.state.actions.push(Action::Cancel { attempt });
                false
            }
            _ => {
                self.state.forget(self.now, attempt);
                self.state.ended.ran(attempt) == Some(false)
            }
        }
    }

    /// Cancels attempts that only the engine knows and reports attempts that it lost.
    pub fn reconcile(mut self, listing: &[ListedSequence]) {
        let now = self.now;
        let State { tasks, ledger, .. } = &mut *self.state;
        let settled = |attempt| {
            let since = tasks
                .get(&attempt)
                .map_or(MonoTime::ZERO, |task| task.since);
            Work::between(since, now) >= SETTLING
        };
        let found = ledger.reconcile(listing, settled);
        for attempt in found.orphans {
            self.state.actions.push(Action::Cancel { attempt });
        }
        for attempt in found.lost {
            self.lose(attempt);
        }
        self.forget_ended();
    }

    /// Reports all attempts that were in the engine as lost.
    pub fn lose_all(mut self) {
        let in_engine = |task: &&Task| task.phase != Phase::Waiting;
        for attempt in self.find(in_engine) {
            self.lose(attempt);
        }
    }

    fn overdue(&self) -> Vec<AttemptId> {
        let (now, cost) = (self.now, &self.state.cost);
        self.find(|task| match task.phase {
            Phase::Waiting => Work::between(now, task.deadline) <= task.remaining_prefill(cost),
            Phase::Ending => false,
            _ => now >= task.deadline,
        })
    }

    fn find(&self, matches: impl Fn(&&Task) -> bool) -> Vec<AttemptId> {
        let tasks = self.state.tasks.values();
        tasks.filter(matches).map(|task| task.job.attempt).collect()
    }

    fn end(&mut self, attempt: AttemptId, reason: Reason, retry: Millis) {
        let known = self.state.tasks.contains_key(&attempt);
        if self.cancel(attempt) && known {
            let refusal = Refusal { reason, retry };
            self.state.actions.push(Action::Expire { attempt, refusal });
        }
    }

    fn lose(&mut self, attempt: AttemptId) {
        self.state.forget(self.now, attempt);
        self.state.actions.push(Action::Lost { attempt });
    }

    /// Drops cancelled attempts whose end the engine never reported and that hold no memory.
    fn forget_ended(&mut self) {
        let now = self.now;
        let State { tasks, ledger, .. } = &*self.state;
        let gone = |task: &&Task| {
            task.phase == Phase::Ending
                && ledger.state(task.job.attempt) != Some(ReservationState::InEngine)
                && Work::between(task.since, now) >= SETTLING
        };
        let gone = tasks.values().filter(gone).map(|task| task.job.attempt);
        for attempt in gone.collect::<Vec<_>>() {
            self.state.forget(now, attempt);
        }
    }
}
