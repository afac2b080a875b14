//! The duration of an engine's steps.

use jujubewind::types::Millis;

/// Costs in microseconds; the defaults model a mid-sized engine.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModel {
    /// Fixed cost of a step.
    pub base: f64,
    /// Cost per prompt token.
    pub prefill_token: f64,
    /// Cost per prompt token and token of context before it.
    pub attention: f64,
    /// Cost per decoding sequence.
    pub decode_sequence: f64,
    /// Cost per token of context of a decoding sequence.
    pub decode_context: f64,
    /// Cost per token of KV cache that is exported or imported.
    pub transfer_token: f64,
    /// The time budget of a step for prefill chunks.
    pub chunk: Millis,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            base: 8_000.0,
            prefill_token: 36.0,
            attention: 0.000_58,
            decode_sequence: 100.0,
            decode_context: 0.004,
            transfer_token: 1.0,
            chunk: Millis(15),
        }
    }
}

impl CostModel {
    /// Returns the time to compute `chunk` tokens of a prompt after `context` tokens.
    #[must_use]
    pub fn prefill(&self, chunk: u64, context: u64) -> f64 {
        let size = to_f64(chunk);
        let mean = to_f64(context) + size / 2.0;
        size * (self.prefill_token + self.attention * mean)
    }

    /// Returns the largest chunk after `context` tokens that fits into `budget`; at least 1 token.
    #[must_use]
    pub fn largest_chunk(&self, budget: f64, context: u64) -> u64 {
        let linear = self.prefill_token + self.attention * to_f64(context);
        let square = self.attention / 2.0;
        let size = if square > 0.0 {
            ((linear * linear + 4.0 * square * budget).sqrt() - linear) / (2.0 * square)
        } else {
            budget / linear
        };
        to_u64(size).max(1)
    }

    /// Returns the time that decoding a sequence with `context` tokens adds to a step.
    #[must_use]
    pub fn decode(&self, context: u64) -> f64 {
        self.decode_sequence + self.decode_context * to_f64(context)
    }

    /// Returns the time to export or import `tokens` of KV cache.
    #[must_use]
    pub fn transfer(&self, tokens: u64) -> f64 {
        self.transfer_token * to_f64(tokens)
    }

    /// Returns the time to compute a whole prompt on an otherwise idle engine, including the fixed
    /// cost of the steps.
    #[must_use]
    pub fn prefill_alone(&self, tokens: u64) -> f64 {
        let work = self.prefill(tokens, 0);
        let steps = (work / self.chunk_budget()).ceil();
        work + steps * self.base
    }

    /// Returns the time budget of a step for prefill chunks, in microseconds.
    pub(crate) fn chunk_budget(&self) -> f64 {
        to_f64(self.chunk.get()) * 1_000.0
    }
}

/// Converts to the nearest float; exact below 2^53, far above any count here.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(number: u64) -> f64 {
    number as f64
}

/// Truncates to an integer; a negative or huge number saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn to_u64(number: f64) -> u64 {
    number as u64
}
