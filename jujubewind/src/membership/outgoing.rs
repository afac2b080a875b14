//! A message to be sent.

use std::net::SocketAddr;

use crate::rpc::message::Gossip;
use crate::types::NodeId;

/// One call to make; its answer goes to [`super::Machine::answered`], a failure nowhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Whom to call.
    pub node: NodeId,
    /// Where it answers.
    pub addr: SocketAddr,
    /// What to say.
    pub news: Gossip,
}
