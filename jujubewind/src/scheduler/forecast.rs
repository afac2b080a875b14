//! Predicting when a job would be served.

use super::Estimate;
use super::Job;
use super::Phase;
use super::Work;
use super::rank::Rank;
use super::state::State;
use super::task::Task;
use crate::types::MonoTime;
use crate::types::Tokens;

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
        let wait = self.work_before(rank).max(self.memory_wait(&task));
        let first = wait
            .saturating_add(task.prefill(&self.state.cost))
            .saturating_add(Work(self.state.cost.step));
        let total = first.saturating_add(self.state.cost.decode(job.output));
        Estimate {
            first: first.millis(),
            total: total.millis(),
            cached: job.cached,
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

    /// The time until enough running work has ended; nothing if pausing makes room at once.
    fn memory_wait(&self, task: &Task) -> Work {
        let long = self.state.is_long(task);
        let mut room = self.state.ledger.room(long);
        let mut ends: Vec<(Work, Tokens)> = self
            .state
            .running()
            .map(|other| (other.need(&self.state.cost), other.job.memory()))
            .collect();
        ends.sort_unstable();
        let mut wait = Work::ZERO;
        for (need, amount) in ends {
            if room >= task.job.memory() {
                break;
            }
            room = room.saturating_add(amount);
            wait = need;
        }
        wait
    }
}
