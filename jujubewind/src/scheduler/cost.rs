//! What work costs at one engine, corrected by what is seen.

use super::Job;
use super::Work;
use crate::types::Tokens;

/// The context over which attention's cost is stated.
const CONTEXT: u64 = 1_024;

/// The bounds of the learnt correction, in thousandths.
const LEAST_SCALE: u64 = 100;
const MOST_SCALE: u64 = 20_000;

/// Predicted work after which the correction takes a step.
const LESSON: Work = Work(2_000_000);

crate::data! {
    /// The engine's cost model as the agent believes it.
    pub struct Cost {
        /// Nanoseconds for each prompt token.
        pub token: u64,
        /// Nanoseconds for each prompt token and each 1,024 tokens before it.
        pub context: u64,
        /// Microseconds for each token of an answer, learnt.
        pub step: u64,
        /// The learnt correction of prefill, in thousandths.
        pub scale: u64,
        /// Predicted work seen since the last correction.
        pub planned: Work,
        /// Engine time that it took.
        pub spent: Work,
    }
}

impl Cost {
    /// A model from the engine's published figures, not yet corrected.
    #[must_use]
    pub const fn new(token: u64, context: u64, step: u64) -> Self {
        Self {
            token,
            context,
            step,
            scale: 1_000,
            planned: Work::ZERO,
            spent: Work::ZERO,
        }
    }

    /// The engine time to read the job's prompt from its cached part on.
    #[must_use]
    pub fn prefill(&self, job: &Job) -> Work {
        self.raw(job).scaled(self.scale)
    }

    /// The time to write `count` tokens of an answer.
    #[must_use]
    pub const fn decode(&self, count: Tokens) -> Work {
        Work(self.step.saturating_mul(count.get()))
    }

    /// Learns that the job's prompt took `spent`, other sequences' decoding included.
    pub fn learn_prefill(&mut self, job: &Job, spent: Work) {
        self.planned = self.planned.saturating_add(self.raw(job));
        self.spent = self.spent.saturating_add(spent);
        if self.planned < LESSON {
            return;
        }
        let seen = self.spent.get().saturating_mul(1_000) / self.planned.get();
        let seen = seen.clamp(LEAST_SCALE, MOST_SCALE);
        self.scale = (self.scale * 3 + seen) / 4;
        self.planned = Work::ZERO;
        self.spent = Work::ZERO;
    }

    /// Learns that `count` tokens of an answer took `spent`.
    pub fn learn_step(&mut self, count: Tokens, spent: Work) {
        if count > Tokens::ZERO {
            self.step = (self.step * 15 + spent.get() / count.get()) / 16;
        }
    }

    /// Engines that share a prompt read it in parallel.
    fn raw(&self, job: &Job) -> Work {
        let (from, to) = (job.cached.get(), job.prompt.get());
        if from >= to {
            return Work::ZERO;
        }
        let linear = (to - from).saturating_mul(self.token);
        let pairs = to.saturating_mul(to) - from.saturating_mul(from);
        let attention = (pairs / (2 * CONTEXT)).saturating_mul(self.context);
        Work(linear.saturating_add(attention) / 1_000 / job.parts.max(1))
    }
}
