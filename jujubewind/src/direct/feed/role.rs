//! How an entry follows the store.

use std::net::SocketAddr;

use crate::types::NodeId;

/// How an entry follows the store at the moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedRole {
    /// It watches the store.
    Reader,
    /// It asks another entry.
    Follower(NodeId, SocketAddr),
}
