//! An admitted attempt and its progress.

use super::Cost;
use super::Job;
use super::Phase;
use super::Settings;
use super::Work;
use super::rank::Rank;
use super::rank::RankInputs;
use crate::types::MonoTime;
use crate::types::Tokens;

/// A job with its progress.
#[derive(Clone, Debug)]
pub struct Task {
    /// The job.
    pub job: Job,
    /// The current phase.
    pub phase: Phase,
    /// When it was admitted.
    pub admitted_at: MonoTime,
    /// The request's deadline.
    pub deadline: MonoTime,
    /// The arrival number.
    pub arrival: u64,
    /// When it was last submitted to, resumed on or cancelled at the engine.
    pub since: MonoTime,
    /// The priority that it was submitted with.
    pub priority: u8,
    /// Engine time spent on its prefill.
    pub prefill_spent: Work,
    /// When the first token was generated.
    pub decode_start: MonoTime,
    /// Output tokens generated so far.
    pub written: Tokens,
    /// Number of pauses.
    pub pauses: u32,
}

impl Task {
    /// A task in the waiting phase.
    #[must_use]
    pub fn new(job: Job, now: MonoTime, arrival: u64) -> Self {
        Self {
            phase: Phase::Waiting,
            admitted_at: now,
            deadline: now.after(job.remaining),
            arrival,
            since: now,
            priority: 0,
            prefill_spent: Work::ZERO,
            decode_start: now,
            written: Tokens::ZERO,
            pauses: 0,
            job,
        }
    }

    /// Remaining prefill.
    #[must_use]
    pub fn remaining_prefill(&self, cost: &Cost) -> Work {
        if self.written > Tokens::ZERO {
            return Work::ZERO;
        }
        cost.prefill(&self.job).saturating_sub(self.prefill_spent)
    }

    /// Engine time still needed until the end of the longest output.
    #[must_use]
    pub fn remaining_work(&self, cost: &Cost) -> Work {
        let output = self.job.output.saturating_sub(self.written);
        self.remaining_prefill(cost)
            .saturating_add(cost.decode(output))
    }

    /// The rank in the queue.
    #[must_use]
    pub fn rank(&self, now: MonoTime, settings: &Settings, cost: &Cost, weight: u64) -> Rank {
        let inputs = RankInputs {
            class: self.job.class,
            prefill: self.remaining_prefill(cost),
            remaining: self.remaining_work(cost),
            time_left: Work::between(now, self.deadline),
            waited: Work::between(self.admitted_at, now),
            weight,
            arrival: self.arrival,
        };
        Rank::new(settings.order, &inputs)
    }
}
