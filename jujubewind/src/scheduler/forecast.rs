//! Predicting when a job would be served.

use super::Estimate;
use super::Job;
use super::Phase;
use super::ReservationState;
use super::Work;
use super::rank::Rank;
use super::state::State;
use super::task::Task;
use crate::types::MonoTime;
use crate::types::Tokens;

/// The length of a step that reads no prompt, in thousandths of the mean step.
const DECODE_PART: u64 = 500;

/// A look at the scheduler's state at one time.
#[derive(Debug)]
pub struct Forecast<'a> {
    state: &'a State,
    now: MonoTime,
}

impl<'a> Forecast<'a> {
    /// Looks at `state` at `now`.
    #[must_use]
    pub fn new(state: &'a State, now: MonoTime) -> Self {
        Self { state, now }
    }

    /// When `job` would get its tokens if it came now.
    #[must_use]
    pub fn estimate(&self, job: &Job) -> Estimate {
        let task = Task::new(job.clone(), self.now, u64::MAX);
        let rank = self.state.rank(self.now, &task);
        let wait = self.work_before(rank).max(self.memory_wait(&task, rank));
        let first = wait
            .saturating_add(self.step_left())
            .saturating_add(task.prefill(&self.state.cost))
            .saturating_add(Work(self.state.cost.step));
        let total = first.saturating_add(self.state.cost.decode(job.output));
        Estimate {
            first: first.millis(),
            total: total.millis(),
            cached: job.cached,
        }
    }

    /// What is left of the engine's step on average: prompts make it long.
    fn step_left(&self) -> Work {
        let step = Work(self.state.cost.step / 2);
        let mut running = self.state.running().peekable();
        if running.peek().is_none() {
            return Work::ZERO;
        }
        if running.any(|task| task.phase == Phase::Prefill) {
            step
        } else {
            step.scaled(DECODE_PART)
        }
    }

    /// Prefill that goes first.
    fn work_before(&self, rank: Rank) -> Work {
        self.state
            .tasks
            .values()
            .filter(|task| matches!(task.phase, Phase::Waiting | Phase::Prefill | Phase::Paused))
            .filter(|task| self.state.rank(self.now, task) < rank)
            .map(|task| task.prefill(&self.state.cost))
            .sum()
    }

    /// The time until enough running work has ended; what would be paused is free at once.
    fn memory_wait(&self, task: &Task, rank: Rank) -> Work {
        if self.state.ledger.place(task.job.attempt) == Some(ReservationState::SetAside) {
            return Work::ZERO;
        }
        let long = self.state.is_long(task);
        let mut room = self.state.ledger.available(long);
        let mut ends: Vec<(Work, Tokens)> = self
            .state
            .running()
            .filter(|other| !self.state.parts.contains_key(&other.job.attempt))
            .map(|other| (self.leaves_in(other, rank), other.job.memory()))
            .collect();
        if let Some(wish) = self.state.wish.filter(|_| long) {
            room = room.saturating_sub(wish.amount);
            ends.push((Work(wish.span.get().saturating_mul(1_000)), wish.amount));
        }
        let parts = self.state.parts.values();
        ends.extend(parts.map(|part| (Work::between(self.now, part.end), part.amount)));
        ends.sort_unstable();
        let mut wait = Work::ZERO;
        for (end, amount) in ends {
            if room >= task.job.memory() {
                break;
            }
            room = room.saturating_add(amount);
            wait = end;
        }
        wait
    }

    fn leaves_in(&self, other: &Task, rank: Rank) -> Work {
        let yields = self.state.rank(self.now, other).yields_to(rank);
        if yields && self.state.may_pause(other) {
            Work::ZERO
        } else {
            other.need(&self.state.cost)
        }
    }
}
