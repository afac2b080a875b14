//! The RPC interface of entries, called by other entries and agents.

use super::message::Gossip;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Query;
use crate::catalogue::follow::Update;
use crate::types::NodeId;

/// The calls that an entry serves for processes that share its state.
#[tarpc::service]
pub trait Peer {
    /// Exchanges members, revisions and suspected requests.
    async fn gossip(gossip: Gossip) -> Option<Gossip>;

    /// Returns the head or texts of the catalogue in force.
    async fn catalogue(query: Query) -> Answer;

    /// Announces a newer revision of the catalogue.
    async fn offer(sender: NodeId, update: Update);
}
