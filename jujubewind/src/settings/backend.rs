//! Settings of an agent's backend server.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The kind and address of the backend server that an agent manages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Backend {
    /// A model engine.
    Engine {
        /// The address of its HTTP interface.
        addr: SocketAddr,
        /// Whether it rejects orders with a stale fencing token.
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
