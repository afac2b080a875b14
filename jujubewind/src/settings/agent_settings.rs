//! Settings of an agent.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Backend;
use super::Error;
use super::Result;
use super::Validate;
use crate::scheduler::Cost;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::NodeId;
use crate::types::Tokens;

/// The settings file of `jujube-agent`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// This process's name, unique in the fleet.
    pub node: NodeId,
    /// The failure domain of its VM.
    pub domain: DomainId,
    /// Where entries reach it.
    pub listen: SocketAddr,
    /// Where `/livez`, `/readyz` and `/metrics` are served.
    pub admin: SocketAddr,
    /// The backend server beside it.
    pub backend: Backend,
    /// The models or services the backend server serves.
    pub models: Vec<ModelId>,
    /// The engine's memory in tokens of KV cache.
    #[serde(default = "default_memory")]
    pub memory: Tokens,
    /// What work costs at the engine until more is learnt.
    #[serde(default = "default_cost")]
    pub cost: Cost,
    /// The most requests the engine runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Entries to report to until more are known.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The platform's key-value service; without it no orders are given.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// How long an attempt lives when no entry asks for its tokens.
    #[serde(default = "default_orphan")]
    pub orphan: Millis,
    /// How long a stop waits for the work in hand at the most.
    #[serde(default = "default_drain")]
    pub drain: Millis,
    /// The least severe level that is logged.
    #[serde(default = "default_log")]
    pub log: log::LevelFilter,
}

impl Validate for AgentSettings {
    fn validate(&self) -> Result<()> {
        if self.models.is_empty() {
            return Err(Error::value(
                "models",
                "[]",
                "name at least one model or service",
            ));
        }
        if self.memory == Tokens::ZERO {
            return Err(Error::value(
                "memory",
                &self.memory,
                "write the engine's memory in tokens",
            ));
        }
        if self.slots == 0 {
            return Err(Error::value("slots", &self.slots, "write 1 or more"));
        }
        if self.orphan < Millis(1_000) {
            return Err(Error::value("orphan", &self.orphan, "write 1000 or more"));
        }
        Ok(())
    }
}

const fn default_memory() -> Tokens {
    Tokens(400_000)
}

/// Nanoseconds a token, nanoseconds a token and 1,024 before it, microseconds a token written.
const fn default_cost() -> Cost {
    Cost::new(40_000, 600, 20_000)
}

const fn default_slots() -> u32 {
    64
}

const fn default_orphan() -> Millis {
    Millis(5_000)
}

const fn default_drain() -> Millis {
    crate::catalogue::MAX_TIMEOUT
}

const fn default_log() -> log::LevelFilter {
    log::LevelFilter::Info
}
