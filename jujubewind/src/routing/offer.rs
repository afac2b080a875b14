//! An agent's reply to a quote request.

use crate::rpc::message::QuoteReply;
use crate::types::DomainId;
use crate::types::NodeId;

/// An agent's reply to a quote request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The agent.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its reply.
    pub reply: QuoteReply,
}
