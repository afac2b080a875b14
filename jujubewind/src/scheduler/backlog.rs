//! Whether the whole queue, served in its order, ends in time.

use super::Phase;
use super::Work;
use super::state::State;
use super::task::Task;
use crate::types::AttemptId;
use crate::types::MonoTime;

/// How much the work ahead of a new job counts against its slack, in thousandths: as much again is
/// kept for the work that comes meanwhile and goes first.
const AHEAD: u64 = 2_000;

/// The part of the longest answer that is expected of admitted work, in thousandths.
const ANSWER: u64 = 500;

/// Prefill, and when it must have ended.
#[derive(Clone, Copy, Debug)]
struct Demand {
    due: Work,
    work: Work,
    attempt: AttemptId,
    waits: bool,
}

/// The engine's prefill by the time at which it is due.
///
/// Work goes first once its slack is used up, so that all of it ends in time if it would when
/// served by deadline.
#[derive(Debug)]
pub struct Backlog {
    demands: Vec<Demand>,
}

impl Backlog {
    /// The work at hand at `now`.
    #[must_use]
    pub fn new(state: &State, now: MonoTime) -> Self {
        let reads =
            |task: &&Task| matches!(task.phase, Phase::Waiting | Phase::Prefill | Phase::Paused);
        let demand = |task: &Task| Demand {
            due: due(state, now, task, ANSWER),
            work: task.prefill(&state.cost),
            attempt: task.job.attempt,
            waits: task.phase == Phase::Waiting,
        };
        let mut demands: Vec<Demand> = state.tasks.values().filter(reads).map(demand).collect();
        demands.sort_unstable_by_key(|one| (one.due, one.attempt));
        Self { demands }
    }

    /// By how much `task`, were it admitted, would itself be late or make other work late; zero if
    /// all ends in time.
    #[must_use]
    pub fn excess(&self, state: &State, now: MonoTime, task: &Task) -> Work {
        let whole = due(state, now, task, 1_000);
        let work = task.prefill(&state.cost);
        let mut before = Work::ZERO;
        let mut excess = Work::ZERO;
        for one in &self.demands {
            let end = before.saturating_add(one.work);
            if one.due > whole && end <= one.due {
                excess = excess.max(end.saturating_add(work).saturating_sub(one.due));
            }
            before = end;
        }
        let ahead = self.demands.iter().filter(|one| one.due <= whole);
        let ahead: Work = ahead.map(|one| one.work).sum();
        let end = ahead.scaled(AHEAD).saturating_add(work);
        excess.max(end.saturating_sub(whole))
    }

    /// The waiting attempts that would be late, and by how much.
    #[must_use]
    pub fn late(&self) -> Vec<(AttemptId, Work)> {
        let mut before = Work::ZERO;
        let mut late = Vec::new();
        for one in &self.demands {
            let end = before.saturating_add(one.work);
            if one.waits && end > one.due {
                late.push((one.attempt, end.saturating_sub(one.due)));
            } else {
                before = end;
            }
        }
        late
    }
}

/// The time until the prompt of `task` must have been read, for an answer of `part` thousandths of
/// the longest one.
fn due(state: &State, now: MonoTime, task: &Task, part: u64) -> Work {
    let answer = state.cost.decode(task.job.output).scaled(part);
    Work::between(now, task.deadline).saturating_sub(answer)
}
