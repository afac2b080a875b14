//! An admitted attempt.

use super::Cost;
use super::Job;
use super::Phase;
use super::Settings;
use super::Work;
use super::rank::Facts;
use super::rank::Rank;
use crate::types::MonoTime;
use crate::types::Tokens;

/// A job with its progress.
#[derive(Clone, Debug)]
pub struct Task {
    /// The job.
    pub job: Job,
    /// Where it stands.
    pub phase: Phase,
    /// When it was admitted.
    pub came: MonoTime,
    /// When the request's time is over.
    pub deadline: MonoTime,
    /// The order of arrival.
    pub arrival: u64,
    /// When it was last handed to the engine.
    pub since: MonoTime,
    /// The priority it was handed over with.
    pub priority: u8,
    /// Engine time that its prompt has had.
    pub spent: Work,
    /// When the answer began.
    pub began: MonoTime,
    /// Tokens of the answer.
    pub written: Tokens,
    /// How often it was paused.
    pub pauses: u32,
}

impl Task {
    /// A task that waits.
    #[must_use]
    pub fn new(job: Job, now: MonoTime, arrival: u64) -> Self {
        Self {
            phase: Phase::Waiting,
            came: now,
            deadline: now.after(job.remaining),
            arrival,
            since: now,
            priority: 0,
            spent: Work::ZERO,
            began: now,
            written: Tokens::ZERO,
            pauses: 0,
            job,
        }
    }

    /// Prefill still to do.
    #[must_use]
    pub fn prefill(&self, cost: &Cost) -> Work {
        if self.written > Tokens::ZERO {
            return Work::ZERO;
        }
        cost.prefill(&self.job).saturating_sub(self.spent)
    }

    /// Engine time still needed to the end of the longest answer.
    #[must_use]
    pub fn need(&self, cost: &Cost) -> Work {
        let answer = self.job.output.saturating_sub(self.written);
        self.prefill(cost).saturating_add(cost.decode(answer))
    }

    /// Its place in the order of work.
    #[must_use]
    pub fn rank(&self, now: MonoTime, settings: &Settings, cost: &Cost, weight: u64) -> Rank {
        let facts = Facts {
            class: self.job.class,
            work: self.prefill(cost),
            need: self.need(cost),
            left: Work::between(now, self.deadline),
            waited: Work::between(self.came, now),
            weight,
            arrival: self.arrival,
        };
        Rank::new(settings.order, &facts)
    }
}
