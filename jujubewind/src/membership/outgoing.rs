//! Outgoing membership messages.

use std::net::SocketAddr;

use super::Role;
use crate::rpc::message::Gossip;

/// A call to make. Its answer goes to [`super::MembershipState::handle_answer`]; a failed call is
/// not reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The role of the receiver, which determines the RPC service to call.
    pub role: Role,
    /// The address of the receiver.
    pub addr: SocketAddr,
    /// The message.
    pub message: Gossip,
}
