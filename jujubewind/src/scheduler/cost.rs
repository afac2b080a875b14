//! The cost model of one engine, corrected by measured prefill and decode times.

use super::Job;
use super::Work;
use crate::types::Tokens;

/// Preceding tokens to which the attention cost in [`Cost::context`] refers.
const CONTEXT_TOKENS: u64 = 1_024;

/// Bounds of the measured correction, in thousandths.
const MIN_SCALE_PERMILLE: u64 = 100;
const MAX_SCALE_PERMILLE: u64 = 20_000;

/// Predicted work after which the correction is updated.
const CORRECTION_INTERVAL: Work = Work(2_000_000);

crate::data! {
    /// The agent's estimate of the engine's costs.
    pub struct Cost {
        /// Nanoseconds for each prompt token.
        pub token: u64,
        /// Nanoseconds for each prompt token and each 1,024 tokens before it.
        pub context: u64,
        /// Microseconds for each output token, updated from measurements.
        pub step: u64,
        /// Correction factor for prefill, in thousandths, updated from measurements.
        pub scale: u64,
        /// Predicted prefill since the last correction.
        pub planned: Work,
        /// Measured engine time of that prefill.
        pub spent: Work,
    }
}

impl Cost {
    /// A cost model from configured figures, without correction.
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

    /// The engine time to prefill the uncached part of the job's prompt.
    #[must_use]
    pub fn prefill(&self, job: &Job) -> Work {
        self.uncorrected_prefill(job).scaled(self.scale)
    }

    /// The time to decode `count` output tokens.
    #[must_use]
    pub const fn decode(&self, count: Tokens) -> Work {
        Work(self.step.saturating_mul(count.get()))
    }

    /// Updates the correction: the job's prefill took `spent`, including other sequences' decoding.
    pub fn learn_prefill(&mut self, job: &Job, spent: Work) {
        self.planned = self.planned.saturating_add(self.uncorrected_prefill(job));
        self.spent = self.spent.saturating_add(spent);
        if self.planned < CORRECTION_INTERVAL {
            return;
        }
        let measured = self.spent.get().saturating_mul(1_000) / self.planned.get();
        let measured = measured.clamp(MIN_SCALE_PERMILLE, MAX_SCALE_PERMILLE);
        self.scale = (self.scale * 3 + measured) / 4;
        self.planned = Work::ZERO;
        self.spent = Work::ZERO;
    }

    /// Updates the decode cost: `count` output tokens took `spent`.
    pub fn learn_step(&mut self, count: Tokens, spent: Work) {
        if count > Tokens::ZERO {
            self.step = (self.step * 15 + spent.get() / count.get()) / 16;
        }
    }

    /// Predicted prefill before correction; the engines of a group prefill their parts in parallel.
    fn uncorrected_prefill(&self, job: &Job) -> Work {
        let (from, to) = (job.cached.get(), job.prompt.get());
        if from >= to {
            return Work::ZERO;
        }
        let linear = (to - from).saturating_mul(self.token);
        let pairs = to.saturating_mul(to) - from.saturating_mul(from);
        let attention = (pairs / (2 * CONTEXT_TOKENS)).saturating_mul(self.context);
        Work(linear.saturating_add(attention) / 1_000 / job.parts.max(1))
    }
}
