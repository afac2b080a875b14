//! Predicts the latency of a job from the scheduler's state.

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

/// The length of a decode-only step, in thousandths of the mean step.
const DECODE_STEP_PERMILLE: u64 = 500;

/// A read-only view of the scheduler's state at one time.
#[derive(Debug)]
pub struct Forecast<'a> {
    state: &'a State,
    now: MonoTime,
}

impl<'a> Forecast<'a> {
    /// Creates a view of `state` at `now`.
    #[must_use]
    pub fn new(state: &'a State, now: MonoTime) -> Self {
        Self { state, now }
    }

    /// Predicts when `job` would get its tokens if it arrived now.
    #[must_use]
    pub fn estimate(&self, job: &Job) -> Estimate {
        let task = Task::new(job.clone(), self.now, u64::MAX);
        let rank = self.state.rank(self.now, &task);
        let wait = self.work_before(rank).max(self.memory_wait(&task, rank));
        let first = wait
            .saturating_add(self.remaining_step())
            .saturating_add(task.remaining_prefill(&self.state.cost))
            .saturating_add(Work(self.state.cost.step));
        let total = first.saturating_add(self.state.cost.decode(job.output));
        Estimate {
            first: first.millis(),
            total: total.millis(),
            cached: job.cached,
        }
    }

    /// Expected remainder of the engine's current step; steps that include prefill are longer.
    fn remaining_step(&self) -> Work {
        let step = Work(self.state.cost.step / 2);
        let mut running = self.state.running().peekable();
        if running.peek().is_none() {
            return Work::ZERO;
        }
        if running.any(|task| task.phase == Phase::Prefill) {
            step
        } else {
            step.scaled(DECODE_STEP_PERMILLE)
        }
    }

    /// Total prefill of the tasks ranked before `rank`.
    fn work_before(&self, rank: Rank) -> Work {
        self.state
            .tasks
            .values()
            .filter(|task| matches!(task.phase, Phase::Waiting | Phase::Prefill | Phase::Paused))
            .filter(|task| self.state.rank(self.now, task) < rank)
            .map(|task| task.remaining_prefill(&self.state.cost))
            .sum()
    }

    /// The time until enough memory is free; what would be paused counts as free now.
    fn memory_wait(&self, task: &Task, rank: Rank) -> Work {
        if self.state.ledger.state(task.job.attempt) == Some(ReservationState::SetAside) {
            return Work::ZERO;
        }
        let long = self.state.is_long(task);
        let mut available = self.state.ledger.available(long);
        let mut ends: Vec<(Work, Tokens)> = self
            .state
            .running()
            .filter(|other| !self.state.held_parts.contains_key(&other.job.attempt))
            .map(|other| (self.time_to_release(other, rank), other.job.memory()))
            .collect();
        if let Some(pending) = self.state.pending_part.filter(|_| long) {
            available = available.saturating_sub(pending.amount);
            ends.push((
                Work(pending.span.get().saturating_mul(1_000)),
                pending.amount,
            ));
        }
        let parts = self.state.held_parts.values();
        ends.extend(parts.map(|part| (Work::between(self.now, part.end), part.amount)));
        ends.sort_unstable();
        let mut wait = Work::ZERO;
        for (end, amount) in ends {
            if available >= task.job.memory() {
                break;
            }
            available = available.saturating_add(amount);
            wait = end;
        }
        wait
    }

    /// The time until the running task `other` ends or is paused in favour of `rank`.
    fn time_to_release(&self, other: &Task, rank: Rank) -> Work {
        let yields = self.state.rank(self.now, other).yields_to(rank);
        if yields && self.state.may_pause(other) {
            Work::ZERO
        } else {
            other.remaining_work(&self.state.cost)
        }
    }
}
