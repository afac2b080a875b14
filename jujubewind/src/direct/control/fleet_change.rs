//! Changes of the lists of backend servers and peers.

use std::collections::BTreeSet;

use super::Peer;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;

/// A change of the lists, or of whether they can be read.
#[derive(Clone, Debug)]
pub enum FleetChange {
    /// The whole list of backend servers.
    Servers(Vec<Server>),
    /// The list of backend servers in a store that was restored from an older copy.
    Restored(Vec<Server>),
    /// A backend server that was added or updated.
    Listed(Server),
    /// A backend server that was removed.
    Removed(ServerId),
    /// The whole list of peers.
    Peers(Vec<Peer>),
    /// A peer that was added or has a new address.
    PeerListed(Peer),
    /// A peer that was removed.
    PeerRemoved(NodeId),
    /// All evacuated failure domains.
    Evacuations(BTreeSet<DomainId>),
    /// A failure domain whose backend servers get nothing new.
    Evacuated(DomainId),
    /// A failure domain whose evacuation has ended.
    Returned(DomainId),
    /// Backend servers that are missing from the list are kept for this long, as another entry told
    /// after an outage.
    Grace(Millis),
    /// The lists can no longer be read.
    OutageStarted,
    /// The lists can be read again.
    OutageEnded,
}

impl FleetChange {
    /// The incarnations of backend servers that it lists.
    pub(super) fn listed(&self) -> Vec<(ServerId, Option<Incarnation>)> {
        let servers = match self {
            Self::Servers(servers) | Self::Restored(servers) => servers.as_slice(),
            Self::Listed(server) => std::slice::from_ref(server),
            _ => &[],
        };
        let incarnation = |server: &Server| (server.id.clone(), server.started);
        servers.iter().map(incarnation).collect()
    }
}
