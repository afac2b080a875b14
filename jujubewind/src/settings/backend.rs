//! The backend server beside an agent.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// What stands beside an agent, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Backend {
    /// A model engine.
    Engine {
        /// The address of its HTTP interface.
        addr: SocketAddr,
        /// Whether it refuses orders with an old fencing number.
        #[serde(default)]
        fencing: bool,
    },
    /// A plain service.
    Service {
        /// The address of its HTTP interface.
        addr: SocketAddr,
    },
}

impl Backend {
    /// The address of the backend server.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        match self {
            Self::Engine { addr, .. } | Self::Service { addr } => *addr,
        }
    }
}
