//! Settings of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::Result;
use super::Validate;
use crate::memory::ProcessMemory;
use crate::types::Bytes;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::NodeId;

/// The settings file of `jujube-entry`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this process, unique in the fleet.
    pub node: NodeId,
    /// The failure domain of its VM.
    pub domain: DomainId,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for other processes of the fleet.
    pub peer: SocketAddr,
    /// The platform's key-value service.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Seed addresses of other entries, used until membership is known.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Directory of the initial catalogue; without it, the catalogue comes from the platform.
    #[serde(default)]
    pub catalogue: Option<PathBuf>,
    /// Maximum size of a request body.
    #[serde(default = "default_body")]
    pub body: Bytes,
    /// Timeout for receiving a whole request.
    #[serde(default = "default_arrival")]
    pub arrival: Millis,
    /// How long a stopping entry still accepts requests after it reports that it is not ready.
    #[serde(default = "default_grace")]
    pub grace: Millis,
    /// The resident memory beyond which the machine ends this process.
    #[serde(default = "default_max_memory")]
    pub max_memory: ProcessMemory,
    /// Minimum severity of log events.
    #[serde(default = "default_log")]
    pub log: log::LevelFilter,
}

impl Validate for EntrySettings {
    fn validate(&self) -> Result<()> {
        if self.body < Bytes(1_024) {
            return Err(Error::value("body", &self.body, "write 1024 or more bytes"));
        }
        if self.max_memory < ProcessMemory::MIN {
            return Err(Error::too_little_memory(self.max_memory));
        }
        if self.body > self.max_memory.largest_request() {
            return Err(Error::value(
                "body",
                &self.body,
                "write at most 6.5 % of `max_memory`, or raise that",
            ));
        }
        if self.arrival == Millis::ZERO {
            return Err(Error::value(
                "arrival",
                &self.arrival,
                "write 1 or more milliseconds",
            ));
        }
        if self.platform.is_none() && self.catalogue.is_none() {
            return Err(Error::value(
                "platform",
                "none",
                "name the platform or a catalogue folder",
            ));
        }
        Ok(())
    }
}

const fn default_body() -> Bytes {
    Bytes(16 << 20)
}

const fn default_arrival() -> Millis {
    Millis(20_000)
}

const fn default_grace() -> Millis {
    Millis(5_000)
}

const fn default_max_memory() -> ProcessMemory {
    ProcessMemory::DEFAULT
}

const fn default_log() -> log::LevelFilter {
    log::LevelFilter::Info
}
