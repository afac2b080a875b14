//! The cost model of an engine that works in passes.
//!
//! A pass prefills the prompts that have arrived, `chunk` tokens in a step, and, if any request is
//! decoding, takes `stride` decode steps of one token each. All requests that decode at the engine
//! pause while it prefills.

use crate::scheduler::Work;
use crate::types::Tokens;

const NANOS_PER_MICRO: u64 = 1_000;
/// The number of context tokens to which `context` refers.
const CONTEXT_UNIT: u64 = 1_000;
/// The number of token pairs to which `pairs` refers.
const PAIRS_UNIT: u64 = 1_000_000;

crate::data! {
    /// The capacity of an engine and the cost of its work.
    pub struct Engine {
        /// Requests that run at once.
        pub slots: u32,
        /// Tokens that fit in its memory.
        pub memory: Tokens,
        /// Decode steps in a pass.
        pub stride: u64,
        /// Most prompt tokens prefilled in one step.
        pub chunk: u64,
        /// Nanoseconds for a step.
        pub step: u64,
        /// Nanoseconds for each request that decodes in a step.
        pub writer: u64,
        /// Nanoseconds for 1,000 context tokens of the requests that decode in a step.
        pub context: u64,
        /// Nanoseconds to prefill a prompt token.
        pub token: u64,
        /// Nanoseconds of attention for a million pairs of a prompt token and an earlier one.
        pub pairs: u64,
    }
}

impl Engine {
    /// The time to prefill a whole prompt on an otherwise idle engine.
    #[must_use]
    pub fn prefill_time(&self, prompt: Tokens) -> Work {
        let tokens = prompt.get();
        let linear = tokens.saturating_mul(self.token);
        let pairs = tokens.saturating_mul(tokens) / 2;
        let attention = (pairs / PAIRS_UNIT).saturating_mul(self.pairs);
        let steps = tokens.div_ceil(self.chunk).saturating_mul(self.step);
        Work(linear.saturating_add(attention).saturating_add(steps) / NANOS_PER_MICRO)
    }

    /// The time to decode `output` tokens on an otherwise idle engine.
    #[must_use]
    pub fn decode_time(&self, prompt: Tokens, output: Tokens) -> Work {
        let passes = output.get().div_ceil(self.stride);
        Work(self.pass_time(1, prompt).get().saturating_mul(passes))
    }

    /// The time of a pass in which `writers` requests with `context` tokens decode and nothing is
    /// prefilled.
    #[must_use]
    pub fn pass_time(&self, writers: u32, context: Tokens) -> Work {
        if writers == 0 {
            return Work::ZERO;
        }
        let decoding = u64::from(writers).saturating_mul(self.writer);
        let attention = context.get().saturating_mul(self.context) / CONTEXT_UNIT;
        let step = self.step.saturating_add(decoding).saturating_add(attention);
        Work(step.saturating_mul(self.stride) / NANOS_PER_MICRO)
    }
}
