//! An agent as the addressee of an attempt.

use std::net::SocketAddr;

use crate::types::NodeId;

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The agent.
    pub node: NodeId,
    /// Its address.
    pub addr: SocketAddr,
}
