//! Submits waiting work to the engine and preempts running work to make room for it.

use super::Action;
use super::Order;
use super::Phase;
use super::ReservationState;
use super::rank::Rank;
use super::state::State;
use super::task::Task;
use crate::types::AttemptId;
use crate::types::MonoTime;
use crate::types::Tokens;

/// One pass over the waiting work.
#[derive(Debug)]
pub struct DispatchPass<'a> {
    state: &'a mut State,
    now: MonoTime,
    actions: Vec<Action>,
}

/// The result for one candidate.
enum Outcome {
    Dispatched,
    /// It must wait, and so must long work behind it.
    Blocked,
    /// Nothing behind it can be dispatched either.
    Full,
}

impl<'a> DispatchPass<'a> {
    /// Starts a pass at `now`.
    #[must_use]
    pub fn new(state: &'a mut State, now: MonoTime) -> Self {
        Self {
            state,
            now,
            actions: Vec::new(),
        }
    }

    /// Dispatches all work that fits and returns the actions for it.
    #[must_use]
    pub fn run(mut self) -> Vec<Action> {
        self.make_room_for_group();
        let mut long_blocked = false;
        for (rank, attempt) in self.queue() {
            let long = self.is_long(attempt);
            let blocked =
                !self.has_memory(attempt) && (long_blocked || self.yields_to_group(attempt, long));
            if blocked && (long || self.is_strict()) {
                continue;
            }
            match self.try_dispatch(rank, attempt, long) {
                Outcome::Dispatched => {}
                Outcome::Blocked => long_blocked = true,
                Outcome::Full => break,
            }
        }
        self.actions
    }

    /// Whether memory is already allocated for the attempt, so that it need not wait for any.
    fn has_memory(&self, attempt: AttemptId) -> bool {
        self.state.ledger.state(attempt) == Some(ReservationState::SetAside)
    }

    /// Whether the attempt must let a waiting group go first.
    fn yields_to_group(&self, attempt: AttemptId, long: bool) -> bool {
        let task = &self.state.tasks[&attempt];
        let pending = self
            .state
            .pending_part
            .filter(|pending| pending.attempt != attempt);
        pending.is_some_and(|pending| {
            self.is_strict() || (long && self.state.can_wait(self.now, task, pending.span))
        })
    }

    /// Whether work must be served strictly in order of arrival.
    fn is_strict(&self) -> bool {
        self.state.settings.order == Order::Arrival
    }

    fn queue(&self) -> Vec<(Rank, AttemptId)> {
        let waits = |task: &&Task| matches!(task.phase, Phase::Waiting | Phase::Paused);
        let mut queue: Vec<(Rank, AttemptId)> = self
            .state
            .tasks
            .values()
            .filter(waits)
            .map(|task| (self.state.rank(self.now, task), task.job.attempt))
            .collect();
        queue.sort_unstable();
        queue
    }

    fn try_dispatch(&mut self, rank: Rank, attempt: AttemptId, long: bool) -> Outcome {
        let no_room = if long && !self.is_strict() {
            Outcome::Blocked
        } else {
            Outcome::Full
        };
        if self.prefilling_before(rank) >= self.state.settings.prefill_window {
            return Outcome::Full;
        }
        if long && self.prefilling_long() >= self.state.settings.long_window {
            return Outcome::Blocked;
        }
        if !self.state.has_slot(long) {
            return no_room;
        }
        if !self
            .state
            .ledger
            .allocate(attempt, ReservationState::InEngine)
        {
            let amount = self.state.tasks[&attempt].job.memory();
            self.make_room(rank, amount, long);
            return no_room;
        }
        self.dispatch(rank, attempt);
        Outcome::Dispatched
    }

    fn dispatch(&mut self, rank: Rank, attempt: AttemptId) {
        let Some(task) = self.state.tasks.get_mut(&attempt) else {
            return;
        };
        let priority = rank.priority();
        let action = if task.phase == Phase::Paused {
            Action::Resume { attempt, priority }
        } else {
            Action::Submit { attempt, priority }
        };
        task.since = self.now;
        task.priority = priority;
        task.phase = if task.written > Tokens::ZERO {
            Phase::Decode
        } else {
            Phase::Prefill
        };
        let work = task.remaining_prefill(&self.state.cost);
        self.state.shares.charge(self.now, &task.job.org, work);
        self.actions.push(action);
    }

    fn prefilling(&self) -> impl Iterator<Item = &Task> {
        let prefills = |task: &&Task| task.phase == Phase::Prefill;
        self.state.tasks.values().filter(prefills)
    }

    fn prefilling_before(&self, rank: Rank) -> usize {
        self.prefilling()
            .filter(|task| self.state.rank(self.now, task) <= rank)
            .count()
    }

    fn prefilling_long(&self) -> usize {
        self.prefilling()
            .filter(|task| self.state.is_long(task))
            .count()
    }

    fn is_long(&self, attempt: AttemptId) -> bool {
        self.state.is_long(&self.state.tasks[&attempt])
    }

    /// Pauses the running work ranked furthest behind `rank` until `amount` will be free.
    fn make_room(&mut self, rank: Rank, amount: Tokens, long: bool) {
        let mut victims: Vec<(Rank, AttemptId, Tokens)> = self
            .state
            .running()
            .filter(|task| self.state.may_pause(task))
            .map(|task| {
                (
                    self.state.rank(self.now, task),
                    task.job.attempt,
                    task.job.memory(),
                )
            })
            .filter(|(other, _, _)| other.yields_to(rank))
            .collect();
        victims.sort_unstable();
        let mut available = self
            .state
            .ledger
            .available(long)
            .saturating_add(self.pending_release());
        let reclaimable: Tokens = victims.iter().map(|(_, _, amount)| *amount).sum();
        if available.saturating_add(reclaimable) < amount {
            return;
        }
        while available < amount {
            let Some((_, attempt, freed)) = victims.pop() else {
                return;
            };
            self.pause(attempt);
            available = available.saturating_add(freed);
        }
    }

    /// Pauses long work that has enough slack until the waiting group's part will fit.
    fn make_room_for_group(&mut self) {
        let Some(pending) = self.state.pending_part else {
            return;
        };
        let mut available = self
            .state
            .ledger
            .available(true)
            .saturating_add(self.pending_release());
        let victims: Vec<(AttemptId, Tokens)> = self
            .state
            .running()
            .filter(|task| self.state.may_pause(task))
            .filter(|task| self.state.can_wait(self.now, task, pending.span))
            .map(|task| (task.job.attempt, task.job.memory()))
            .collect();
        for (attempt, freed) in victims {
            if available >= pending.amount {
                break;
            }
            self.pause(attempt);
            available = available.saturating_add(freed);
        }
    }

    fn pause(&mut self, attempt: AttemptId) {
        if let Some(task) = self.state.tasks.get_mut(&attempt) {
            task.phase = Phase::Pausing;
            task.pauses += 1;
            self.actions.push(Action::Pause { attempt });
        }
    }

    /// Memory of attempts that the engine is pausing or ending.
    fn pending_release(&self) -> Tokens {
        self.state
            .tasks
            .values()
            .filter(|task| matches!(task.phase, Phase::Pausing | Phase::Ending))
            .map(|task| task.job.memory())
            .sum()
    }
}
