//! What the agent's task is told.

use flume::Sender;

use super::EngineEvent;
use crate::rpc::message::AgentStatus;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::rpc::message::Cancel;
use crate::rpc::message::CancelReply;
use crate::rpc::message::Gossip;
use crate::rpc::message::Hold;
use crate::rpc::message::HoldReply;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::rpc::message::Quote;
use crate::rpc::message::QuoteReply;
use crate::rpc::message::Start;
use crate::rpc::message::StartReply;
use crate::types::AttemptId;
use crate::wire::engine::CacheEvents;
use crate::wire::engine::SequenceList;

/// A message to the task that owns the agent's state; the sender in it takes the answer.
#[derive(Debug)]
pub enum Message {
    /// An entry asks for an estimate.
    Quote(Quote, Sender<QuoteReply>),
    /// An entry wants memory held for a part of a group.
    Hold(Hold, Sender<HoldReply>),
    /// The engine would not hold a part.
    Unheld(AttemptId),
    /// An entry hands over a request.
    Start(Box<Start>, Sender<StartReply>),
    /// An entry asks for tokens.
    Pull(Pull, Sender<PullReply>),
    /// An entry gives an attempt up.
    Cancel(Cancel, Sender<CancelReply>),
    /// An entry calls the plain service.
    Call(Call, Sender<CallReply>),
    /// The call to the plain service ended.
    CallEnded(AttemptId),
    /// Another process tells news of members.
    Gossip(Box<Gossip>, Sender<Gossip>),
    /// Another process answered to our news.
    Answered(Box<Gossip>),
    /// An operator asks how it stands.
    Status(Sender<AgentStatus>),
    /// The metrics are wanted as text.
    Metrics(Sender<String>),
    /// The engine has news of an attempt.
    Engine(AttemptId, EngineEvent),
    /// What the engine lists as its sequences.
    Listed(SequenceList),
    /// The engine's cache events.
    Cached(CacheEvents),
    /// Time has passed.
    Tick,
    /// The process was asked to stop.
    Leave,
}
