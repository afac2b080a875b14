//! The cost model of an engine that works in passes.
//!
//! A pass reads what has arrived of prompts and, if any request is writing, takes `stride` steps of one
//! token each. Everything that is read in a pass is a pause for all that write at that engine.

use crate::scheduler::Work;
use crate::types::Tokens;

/// Nanoseconds in a microsecond.
const NANOS: u64 = 1_000;
/// Tokens over which the cost of context is stated.
const CONTEXT: u64 = 1_000;
/// Pairs of tokens over which the cost of attention is stated.
const PAIRS: u64 = 1_000_000;

crate::data! {
    /// What an engine holds and how long its work takes.
    pub struct Engine {
        /// Requests that run at once.
        pub slots: u32,
        /// Tokens that its memory holds.
        pub memory: Tokens,
        /// Steps of a pass in which requests write.
        pub stride: u64,
        /// Prompt tokens read in one step at the most.
        pub chunk: u64,
        /// Nanoseconds for a step.
        pub step: u64,
        /// Nanoseconds for each request that writes in a step.
        pub writer: u64,
        /// Nanoseconds for 1,000 tokens of context of those that write in a step.
        pub context: u64,
        /// Nanoseconds to read a token of a prompt.
        pub token: u64,
        /// Nanoseconds for a million pairs of a prompt token and one before it.
        pub pairs: u64,
    }
}

impl Engine {
    /// The time to read a whole prompt alone.
    #[must_use]
    pub fn read(&self, prompt: Tokens) -> Work {
        let tokens = prompt.get();
        let linear = tokens.saturating_mul(self.token);
        let pairs = tokens.saturating_mul(tokens) / 2;
        let attention = (pairs / PAIRS).saturating_mul(self.pairs);
        Work(linear.saturating_add(attention) / NANOS)
    }

    /// The time to write an answer of `output` tokens alone.
    #[must_use]
    pub fn write(&self, prompt: Tokens, output: Tokens) -> Work {
        let passes = output.get().div_ceil(self.stride);
        Work(self.pass(1, prompt).get().saturating_mul(passes))
    }

    /// The time of a pass in which `writers` requests with `context` tokens write and nothing is read.
    #[must_use]
    pub fn pass(&self, writers: u32, context: Tokens) -> Work {
        if writers == 0 {
            return Work::ZERO;
        }
        let writing = u64::from(writers).saturating_mul(self.writer);
        let reading = context.get().saturating_mul(self.context) / CONTEXT;
        let step = self.step.saturating_add(writing).saturating_add(reading);
        Work(step.saturating_mul(self.stride) / NANOS)
    }
}
