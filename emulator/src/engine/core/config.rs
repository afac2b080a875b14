//! The configuration of one engine.

use jujubewind::types::Millis;
use jujubewind::types::Tokens;

use super::CostModel;

/// The configuration of one engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The models loaded at start.
    pub models: Vec<String>,
    /// The size of the KV memory.
    pub capacity: Tokens,
    /// The maximum number of sequences in the batch.
    pub batch: usize,
    /// The durations of steps and transfers.
    pub cost: CostModel,
    /// How long the engine is blocked while it loads a model.
    pub model_load: Millis,
    /// How long the engine is blocked while it loads an adapter.
    pub adapter_load: Millis,
    /// How long the engine is down after a crash.
    pub restart: Millis,
    /// Whether every token produces an output; if not, only the first token and the end of a
    /// sequence do.
    pub each_token: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            capacity: Tokens(400_000),
            batch: 64,
            cost: CostModel::default(),
            model_load: Millis(2_000),
            adapter_load: Millis(200),
            restart: Millis(5_000),
            each_token: true,
        }
    }
}
