//! Feasibility check: whether the queued prefill meets all deadlines when served in order.

use super::Phase;
use super::Work;
use super::state::State;
use super::task::Task;
use crate::types::AttemptId;
use crate::types::MonoTime;

/// Factor applied to the work ahead of a new job, in thousandths: it reserves the same amount again
/// for later arrivals that are served before the job.
const AHEAD_PERMILLE: u64 = 2_000;

/// Expected output of admitted work as a share of its longest output, in thousandths.
const EXPECTED_OUTPUT_PERMILLE: u64 = 500;

/// The prefill of one attempt and the time by which it must have ended.
#[derive(Clone, Copy, Debug)]
struct Demand {
    due: Work,
    work: Work,
    attempt: AttemptId,
    is_waiting: bool,
}

/// The engine's outstanding prefill, sorted by due time.
///
/// Work without slack left is served first, so all work meets its deadline if it would under
/// earliest-deadline-first order.
#[derive(Debug)]
pub struct Backlog {
    demands: Vec<Demand>,
}

impl Backlog {
    /// Collects the outstanding prefill at `now`.
    #[must_use]
    pub fn new(state: &State, now: MonoTime) -> Self {
        let needs_prefill =
            |task: &&Task| matches!(task.phase, Phase::Waiting | Phase::Prefill | Phase::Paused);
        let to_demand = |task: &Task| Demand {
            due: due(state, now, task, EXPECTED_OUTPUT_PERMILLE),
            work: task.remaining_prefill(&state.cost),
            attempt: task.job.attempt,
            is_waiting: task.phase == Phase::Waiting,
        };
        let mut demands: Vec<Demand> = state
            .tasks
            .values()
            .filter(needs_prefill)
            .map(to_demand)
            .collect();
        demands.sort_unstable_by_key(|demand| (demand.due, demand.attempt));
        Self { demands }
    }

    /// By how much `task`, if admitted, would be late itself or make other work late; zero if all
    /// work ends in time.
    #[must_use]
    pub fn lateness(&self, state: &State, now: MonoTime, task: &Task) -> Work {
        let latest = due(state, now, task, 1_000);
        let work = task.remaining_prefill(&state.cost);
        let mut before = Work::ZERO;
        let mut lateness = Work::ZERO;
        for demand in &self.demands {
            let end = before.saturating_add(demand.work);
            if demand.due > latest && end <= demand.due {
                lateness = lateness.max(end.saturating_add(work).saturating_sub(demand.due));
            }
            before = end;
        }
        let ahead = self.demands.iter().filter(|demand| demand.due <= latest);
        let ahead: Work = ahead.map(|demand| demand.work).sum();
        let end = ahead.scaled(AHEAD_PERMILLE).saturating_add(work);
        lateness.max(end.saturating_sub(latest))
    }

    /// Waiting attempts that are predicted to be late, each with its lateness. Those after a late
    /// attempt are predicted as if it were removed.
    #[must_use]
    pub fn late_attempts(&self) -> Vec<(AttemptId, Work)> {
        let mut before = Work::ZERO;
        let mut late = Vec::new();
        for demand in &self.demands {
            let end = before.saturating_add(demand.work);
            if demand.is_waiting && end > demand.due {
                late.push((demand.attempt, end.saturating_sub(demand.due)));
            } else {
                before = end;
            }
        }
        late
    }
}

/// The time left until the prefill of `task` must end, for an output of `output_permille`
/// thousandths of the longest output.
fn due(state: &State, now: MonoTime, task: &Task, output_permille: u64) -> Work {
    let output = state.cost.decode(task.job.output).scaled(output_permille);
    Work::between(now, task.deadline).saturating_sub(output)
}
