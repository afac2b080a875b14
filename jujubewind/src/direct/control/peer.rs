//! Another entry.

use std::net::SocketAddr;

use crate::types::DomainId;
use crate::types::NodeId;

/// Another entry as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub node: NodeId,
    /// Its address for datagrams.
    pub addr: SocketAddr,
    /// Its failure domain, if it told.
    pub domain: Option<DomainId>,
}
