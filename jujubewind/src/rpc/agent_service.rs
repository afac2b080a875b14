//! What an agent answers to entries and operators.

use super::message::AgentStatus;
use super::message::Call;
use super::message::CallReply;
use super::message::Cancel;
use super::message::CancelReply;
use super::message::Gossip;
use super::message::Hold;
use super::message::HoldReply;
use super::message::Pull;
use super::message::PullReply;
use super::message::Quote;
use super::message::QuoteReply;
use super::message::Start;
use super::message::StartReply;

/// The calls of an agent.
#[tarpc::service]
pub trait Agent {
    /// Estimates when a request would get its first token; reserves nothing.
    async fn quote(ask: Quote) -> QuoteReply;

    /// Holds memory for a part of a group; a cancel lets go of it.
    async fn hold(ask: Hold) -> HoldReply;

    /// Takes a request with a reservation, or refuses it with a reason.
    async fn start(order: Start) -> StartReply;

    /// Waits for tokens from an offset on; asking again for the same offset is harmless.
    async fn pull(ask: Pull) -> PullReply;

    /// Fences an attempt: it never starts afterwards, and stops if it runs.
    async fn cancel(ask: Cancel) -> CancelReply;

    /// Makes one call to the plain service beside the agent.
    async fn call(order: Call) -> CallReply;

    /// Takes news of members and answers with its own.
    async fn gossip(gossip: Gossip) -> Option<Gossip>;

    /// Reports the agent's state to an operator; `None` when it is stopping.
    async fn status() -> Option<AgentStatus>;
}
