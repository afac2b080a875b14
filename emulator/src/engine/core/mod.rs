//! The engine as a state machine in virtual time: `(state, now, input) -> outputs`, without I/O.

pub mod answer;
mod cache;
mod cache_log;
mod config;
mod cost_model;
mod engine_core;
mod error;
mod export;
mod faults;
mod load_log;
mod memory;
mod order;
mod output;
mod prompt;
mod sequence;
mod step;

pub use cache::PrefixCache;
pub use config::EngineConfig;
pub use cost_model::CostModel;
pub use engine_core::EngineCore;
pub use error::Error;
pub use error::Result;
pub use faults::EngineFaults;
pub use output::Finish;
pub use output::Output;
pub use output::Usage;
pub use prompt::POISON;
pub use prompt::Prompt;
pub use sequence::SeqKey;
pub use sequence::Submit;
