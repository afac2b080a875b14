//! A change in the store.

use std::net::SocketAddr;

use crate::direct::Server;
use crate::direct::ServerId;
use crate::types::DomainId;
use crate::types::NodeId;
use crate::types::Revision;

crate::data! {
    /// A change that concerns entries.
    pub enum FeedChange {
        /// There is a newer configuration.
        Configured(Revision),
        /// A backend server was added or updated.
        Listed(Server),
        /// A backend server was removed.
        Removed(ServerId),
        /// An entry was added or updated.
        PeerListed(NodeId, SocketAddr, Option<DomainId>),
        /// An entry was removed.
        PeerRemoved(NodeId),
        /// Backend servers of a failure domain are to get nothing new.
        Evacuated(DomainId),
        /// The evacuation of a failure domain has ended.
        Returned(DomainId),
    }
}
