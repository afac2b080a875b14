//! A message to be sent.

use std::net::SocketAddr;

use super::Role;
use crate::rpc::message::Gossip;

/// One call to make; its answer goes to [`super::MembershipState::handle_answer`], a failure nowhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The role of the other process, by which its service is known.
    pub role: Role,
    /// Where the other process answers.
    pub addr: SocketAddr,
    /// What to say.
    pub message: Gossip,
}
