//! An agent's answer, with what the entry knows of the agent.

use crate::rpc::message::QuoteReply;
use crate::types::DomainId;
use crate::types::NodeId;

/// One answer to a quote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The agent.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it answered.
    pub reply: QuoteReply,
}
