//! The RPC interface of agents, called by entries and operators.

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

/// The calls that an agent serves.
#[tarpc::service]
pub trait Agent {
    /// Estimates when a request would get its first token; reserves nothing.
    async fn quote(request: Quote) -> QuoteReply;

    /// Reserves memory for a part of a group; a cancel releases it.
    async fn hold(request: Hold) -> HoldReply;

    /// Accepts a request and reserves resources for it, or refuses it with a reason.
    async fn start(request: Start) -> StartReply;

    /// Waits for tokens from an offset on; idempotent for the same offset.
    async fn pull(request: Pull) -> PullReply;

    /// Fences an attempt: it never starts afterwards, and is stopped if it is running.
    async fn cancel(request: Cancel) -> CancelReply;

    /// Forwards one call to the plain service of the agent.
    async fn call(request: Call) -> CallReply;

    /// Handles a gossip message and returns the reply, if there is one.
    async fn gossip(gossip: Gossip) -> Option<Gossip>;

    /// Reports the agent's state to an operator; `None` when it is stopping.
    async fn status() -> Option<AgentStatus>;
}
