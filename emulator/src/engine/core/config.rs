//! The settings of one engine.

use jujubewind::types::Millis;
use jujubewind::types::Tokens;

use super::CostModel;

/// The settings of one engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The models loaded at start.
    pub models: Vec<String>,
    /// KV memory.
    pub capacity: Tokens,
    /// The most sequences in the batch.
    pub batch: usize,
    /// What steps cost.
    pub cost: CostModel,
    /// How long loading a model stops the engine.
    pub model_load: Millis,
    /// How long loading an adapter stops the engine.
    pub adapter_load: Millis,
    /// How long the engine is gone after a crash.
    pub restart: Millis,
    /// Whether each token gives an output, or only the first and the last of a sequence.
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
