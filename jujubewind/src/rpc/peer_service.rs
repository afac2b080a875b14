//! What entries answer to one another and to agents.

use super::message::Gossip;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Query;
use crate::catalogue::follow::Update;
use crate::types::NodeId;

/// The calls between processes that share state.
#[tarpc::service]
pub trait Peer {
    /// Exchanges what each side knows of members, revisions and suspects.
    async fn gossip(gossip: Gossip) -> Option<Gossip>;

    /// Asks for the head or for texts of the catalogue in force.
    async fn catalogue(ask: Query) -> Answer;

    /// Passes on a newer revision of the catalogue.
    async fn offer(sender: NodeId, update: Update);
}
