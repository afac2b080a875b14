//! How long an engine's steps take.

use jujubewind::types::Millis;

/// Costs in microseconds; the defaults are those of one mid-sized engine.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModel {
    /// Each step, whatever is in it.
    pub base: f64,
    /// Each token of a prompt.
    pub prefill_token: f64,
    /// Each token of a prompt, for each token of context before it.
    pub attention: f64,
    /// Each sequence that decodes.
    pub decode_sequence: f64,
    /// Each token of context of a sequence that decodes.
    pub decode_context: f64,
    /// Each token of KV cache that is exported or imported.
    pub transfer_token: f64,
    /// The time that chunks of prompts may take in a step.
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
    /// The time to compute `chunk` tokens of a prompt after `context` tokens.
    #[must_use]
    pub fn prefill(&self, chunk: u64, context: u64) -> f64 {
        let size = float(chunk);
        let mean = float(context) + size / 2.0;
        size * (self.prefill_token + self.attention * mean)
    }

    /// The most tokens after `context` that fit into `budget`, and at least one.
    #[must_use]
    pub fn chunk_within(&self, budget: f64, context: u64) -> u64 {
        let linear = self.prefill_token + self.attention * float(context);
        let square = self.attention / 2.0;
        let size = if square > 0.0 {
            ((linear * linear + 4.0 * square * budget).sqrt() - linear) / (2.0 * square)
        } else {
            budget / linear
        };
        whole(size).max(1)
    }

    /// The time that a sequence with `context` tokens adds to a step in which it decodes.
    #[must_use]
    pub fn decode(&self, context: u64) -> f64 {
        self.decode_sequence + self.decode_context * float(context)
    }

    /// The time to move `tokens` of KV cache.
    #[must_use]
    pub fn transfer(&self, tokens: u64) -> f64 {
        self.transfer_token * float(tokens)
    }

    /// The time to compute a whole prompt alone on the engine, steps included.
    #[must_use]
    pub fn prefill_alone(&self, tokens: u64) -> f64 {
        let work = self.prefill(tokens, 0);
        let steps = (work / self.budget()).ceil();
        work + steps * self.base
    }

    /// The time that chunks may take in a step, in microseconds.
    pub(crate) fn budget(&self) -> f64 {
        float(self.chunk.get()) * 1_000.0
    }
}

/// The nearest float; exact below 2^53, far above any count here.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn float(number: u64) -> f64 {
    number as f64
}

/// The whole part; a negative or huge number is held at the nearest bound.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn whole(number: f64) -> u64 {
    number as u64
}
