//! What the list of backend servers and of peers tells.

use std::net::SocketAddr;

use crate::direct::Server;
use crate::direct::ServerId;
use crate::types::NodeId;

/// A change of the list.
#[derive(Clone, Debug)]
pub enum FleetChange {
    /// The whole list of backend servers.
    Servers(Vec<Server>),
    /// One entry of it as it was written.
    Listed(Server),
    /// An entry that is gone.
    Removed(ServerId),
    /// The whole list of peers.
    Peers(Vec<(NodeId, SocketAddr)>),
    /// A peer that came or moved.
    PeerListed(NodeId, SocketAddr),
    /// A peer that left.
    PeerRemoved(NodeId),
    /// The list cannot be read.
    OutageStarted,
    /// The list can be read again.
    OutageEnded,
}
