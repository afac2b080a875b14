//! Settings of an agent.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Backend;
use super::Error;
use super::Result;
use super::Validate;
use crate::memory::ProcessMemory;
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
    /// Name of this process, unique in the fleet.
    pub node: NodeId,
    /// The failure domain of its VM.
    pub domain: DomainId,
    /// Listen address for entries.
    pub listen: SocketAddr,
    /// Listen address of `/livez`, `/readyz` and `/metrics`.
    pub admin: SocketAddr,
    /// The backend server that it manages.
    pub backend: Backend,
    /// The models or services of the backend server.
    pub models: Vec<ModelId>,
    /// KV cache size of the engine in tokens.
    #[serde(default = "default_memory")]
    pub memory: Tokens,
    /// Initial cost model of the engine, corrected by measurements.
    #[serde(default = "default_cost")]
    pub cost: Cost,
    /// Maximum number of concurrent requests of the engine.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Seed addresses of entries, used until membership is known.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The platform's key-value service; without it, no engine orders are issued.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// How long an attempt keeps running while no entry pulls its tokens.
    #[serde(default = "default_orphan")]
    pub orphan: Millis,
    /// How long a stopping agent waits for running requests at most.
    #[serde(default = "default_drain")]
    pub drain: Millis,
    /// The resident memory beyond which the machine ends this process.
    #[serde(default = "default_max_memory")]
    pub max_memory: ProcessMemory,
    /// Minimum severity of log events.
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
        if self.max_memory < ProcessMemory::MIN {
            return Err(Error::too_little_memory(self.max_memory));
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

/// Nanoseconds per prefilled token, nanoseconds per prefilled token for each 1,024 tokens before
/// it, and microseconds per generated token.
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

const fn default_max_memory() -> ProcessMemory {
    ProcessMemory::DEFAULT
}

const fn default_log() -> log::LevelFilter {
    log::LevelFilter::Info
}
