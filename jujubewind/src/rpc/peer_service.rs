//! What entries answer to one another and to agents.

use super::message::Gossip;

/// The calls between processes that share state.
#[tarpc::service]
pub trait Peer {
    /// Exchanges what each side knows of members, revisions and suspects.
    async fn gossip(news: Gossip) -> Option<Gossip>;
}
