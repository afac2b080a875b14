//! Handing work to the engine, and pausing work that is in the way.

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
pub struct Placement<'a> {
    state: &'a mut State,
    now: MonoTime,
    actions: Vec<Action>,
}

/// What became of one candidate in a pass.
enum Outcome {
    Placed,
    /// It waits, and long work behind it does too.
    Blocked,
    /// Nothing behind it can be placed either.
    Full,
}

impl<'a> Placement<'a> {
    /// A pass at `now`.
    #[must_use]
    pub fn new(state: &'a mut State, now: MonoTime) -> Self {
        Self {
            state,
            now,
            actions: Vec::new(),
        }
    }

    /// Places what can be placed and tells the orders for it.
    #[must_use]
    pub fn run(mut self) -> Vec<Action> {
        self.make_room_for_wish();
        let mut held_up = false;
        for (rank, attempt) in self.queue() {
            let long = self.is_long(attempt);
            let blocked = !self.has_memory(attempt) && (held_up || self.gives_way(attempt, long));
            if blocked && (long || self.is_strict()) {
                continue;
            }
            match self.try_place(rank, attempt, long) {
                Outcome::Placed => {}
                Outcome::Blocked => held_up = true,
                Outcome::Full => break,
            }
        }
        self.actions
    }

    /// Whether memory is set aside for the attempt, so that it waits for nobody's.
    fn has_memory(&self, attempt: AttemptId) -> bool {
        self.state.ledger.place(attempt) == Some(ReservationState::SetAside)
    }

    /// Whether the attempt lets a waiting group go first.
    fn gives_way(&self, attempt: AttemptId, long: bool) -> bool {
        let task = &self.state.tasks[&attempt];
        let wish = self.state.wish.filter(|wish| wish.attempt != attempt);
        wish.is_some_and(|wish| {
            self.is_strict() || (long && self.state.can_wait(self.now, task, wish.span))
        })
    }

    /// Whether nothing may overtake what came before it.
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

    fn try_place(&mut self, rank: Rank, attempt: AttemptId, long: bool) -> Outcome {
        let full = if long && !self.is_strict() {
            Outcome::Blocked
        } else {
            Outcome::Full
        };
        if self.reading_before(rank) >= self.state.settings.prefill_window {
            return Outcome::Full;
        }
        if long && self.reading_long() >= self.state.settings.long_window {
            return Outcome::Blocked;
        }
        if !self.state.has_slot(long) {
            return full;
        }
        if !self
            .state
            .ledger
            .allocate(attempt, ReservationState::InEngine)
        {
            let amount = self.state.tasks[&attempt].job.memory();
            self.make_room(rank, amount, long);
            return full;
        }
        self.hand_over(rank, attempt);
        Outcome::Placed
    }

    fn hand_over(&mut self, rank: Rank, attempt: AttemptId) {
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
        let work = task.prefill(&self.state.cost);
        self.state.shares.charge(self.now, &task.job.org, work);
        self.actions.push(action);
    }

    fn reading(&self) -> impl Iterator<Item = &Task> {
        let reads = |task: &&Task| task.phase == Phase::Prefill;
        self.state.tasks.values().filter(reads)
    }

    fn reading_before(&self, rank: Rank) -> usize {
        self.reading()
            .filter(|task| self.state.rank(self.now, task) <= rank)
            .count()
    }

    fn reading_long(&self) -> usize {
        self.reading()
            .filter(|task| self.state.is_long(task))
            .count()
    }

    fn is_long(&self, attempt: AttemptId) -> bool {
        self.state.is_long(&self.state.tasks[&attempt])
    }

    /// Pauses the work furthest behind `rank` until `amount` will be free.
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
        let mut room = self
            .state
            .ledger
            .available(long)
            .saturating_add(self.being_freed());
        let all: Tokens = victims.iter().map(|(_, _, amount)| *amount).sum();
        if room.saturating_add(all) < amount {
            return;
        }
        while room < amount {
            let Some((_, attempt, freed)) = victims.pop() else {
                return;
            };
            self.pause(attempt);
            room = room.saturating_add(freed);
        }
    }

    fn make_room_for_wish(&mut self) {
        let Some(wish) = self.state.wish else {
            return;
        };
        let mut room = self
            .state
            .ledger
            .available(true)
            .saturating_add(self.being_freed());
        let victims: Vec<(AttemptId, Tokens)> = self
            .state
            .running()
            .filter(|task| self.state.may_pause(task))
            .filter(|task| self.state.can_wait(self.now, task, wish.span))
            .map(|task| (task.job.attempt, task.job.memory()))
            .collect();
        for (attempt, freed) in victims {
            if room >= wish.amount {
                break;
            }
            self.pause(attempt);
            room = room.saturating_add(freed);
        }
    }

    fn pause(&mut self, attempt: AttemptId) {
        if let Some(task) = self.state.tasks.get_mut(&attempt) {
            task.phase = Phase::Pausing;
            task.pauses += 1;
            self.actions.push(Action::Pause { attempt });
        }
    }

    fn being_freed(&self) -> Tokens {
        self.state
            .tasks
            .values()
            .filter(|task| matches!(task.phase, Phase::Pausing | Phase::Ending))
            .map(|task| task.job.memory())
            .sum()
    }
}
