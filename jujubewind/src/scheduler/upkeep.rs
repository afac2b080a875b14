//! Ending attempts whose time or renewals ran out, or which the engine lost.

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

/// How long an attempt may be missing from the engine's list after it was handed over.
const SETTLING: Work = Work(2_000_000);

/// One round of ending what must end.
#[derive(Debug)]
pub struct Upkeep<'a> {
    state: &'a mut State,
    now: MonoTime,
}

impl<'a> Upkeep<'a> {
    /// A round at `now`.
    #[must_use]
    pub fn new(state: &'a mut State, now: MonoTime) -> Self {
        Self { state, now }
    }

    /// Ends what nobody renewed and what can no longer be in time.
    pub fn expire(mut self) {
        let now = self.now;
        self.state.past.prune(now);
        self.state.wish.take_if(|wish| wish.until <= now);
        let again = self.state.settings.ttl;
        for attempt in self.state.ledger.expire(now, again) {
            self.end(attempt, Reason::Cancelled, Millis::ZERO);
        }
        for attempt in self.overdue() {
            self.end(attempt, Reason::DeadlinePassed, Millis::ZERO);
        }
        if self.state.settings.admission {
            self.give_up();
        }
    }

    /// Ends waiting work as soon as it is predicted late, so that its caller need not wait for it.
    fn give_up(&mut self) {
        for (attempt, excess) in Backlog::new(self.state, self.now).late() {
            self.end(attempt, Reason::NoTime, excess.millis());
        }
    }

    /// Fences an attempt; `true` if it never reached the engine.
    pub fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.state.wish.take_if(|wish| wish.attempt == attempt);
        match self.state.tasks.get_mut(&attempt) {
            Some(task) if task.phase != Phase::Waiting => {
                task.phase = Phase::Ending;
                task.since = self.now;
                self.state.actions.push(Action::Cancel { attempt });
                false
            }
            _ => {
                self.state.forget(self.now, attempt);
                self.state.past.ran(attempt) == Some(false)
            }
        }
    }

    /// Cancels what only the engine knows, and reports what it lost.
    pub fn reconcile(mut self, listing: &[ListedSequence]) {
        let now = self.now;
        let State { tasks, ledger, .. } = &mut *self.state;
        let settled = |attempt| {
            let since = tasks
                .get(&attempt)
                .map_or(MonoTime::ZERO, |task| task.since);
            Work::between(since, now) >= SETTLING
        };
        let audit = ledger.reconcile(listing, settled);
        for attempt in audit.orphans {
            self.state.actions.push(Action::Cancel { attempt });
        }
        for attempt in audit.lost {
            self.lose(attempt);
        }
        self.forget_ended();
    }

    /// Reports all that the engine had as lost.
    pub fn restarted(mut self) {
        let had = |task: &&Task| task.phase != Phase::Waiting;
        for attempt in self.find(had) {
            self.lose(attempt);
        }
    }

    fn overdue(&self) -> Vec<AttemptId> {
        let (now, cost) = (self.now, &self.state.cost);
        self.find(|task| match task.phase {
            Phase::Waiting => Work::between(now, task.deadline) <= task.prefill(cost),
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

    /// Drops attempts whose end was never reported and of which no memory is left.
    fn forget_ended(&mut self) {
        let now = self.now;
        let State { tasks, ledger, .. } = &*self.state;
        let gone = |task: &&Task| {
            task.phase == Phase::Ending
                && ledger.place(task.job.attempt) != Some(ReservationState::InEngine)
                && Work::between(task.since, now) >= SETTLING
        };
        let gone = tasks.values().filter(gone).map(|task| task.job.attempt);
        for attempt in gone.collect::<Vec<_>>() {
            self.state.forget(now, attempt);
        }
    }
}
