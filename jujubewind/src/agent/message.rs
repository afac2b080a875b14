//! Messages to the agent's main task.

use flume::Sender;

use super::EngineEvent;
use crate::pace::NamedLimit;
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
use crate::types::MonoTime;
use crate::wire::engine::CacheEvents;
use crate::wire::engine::SequenceList;

/// A message to the task that owns the agent's state; replies go to the contained sender.
#[derive(Debug)]
pub enum Message {
    /// An entry requests an estimate.
    Quote(Quote, Sender<QuoteReply>),
    /// An entry requests memory for a part of a group.
    Hold(Hold, Sender<HoldReply>),
    /// The engine did not accept a part of a group.
    HoldFailed(AttemptId),
    /// An entry starts an attempt.
    Start(Box<Start>, Sender<StartReply>),
    /// An entry pulls tokens.
    Pull(Pull, Sender<PullReply>),
    /// An entry cancels an attempt.
    Cancel(Cancel, Sender<CancelReply>),
    /// An entry calls the plain service.
    Call(Call, Sender<CallReply>),
    /// The call to the plain service ended.
    CallEnded {
        /// The call.
        attempt: AttemptId,
        /// When it was sent.
        sent: MonoTime,
        /// The limit that the response names; `None` without a response.
        limit: Option<NamedLimit>,
    },
    /// Another member sent gossip.
    Gossip(Box<Gossip>, Sender<Gossip>),
    /// Another member answered our gossip.
    GossipAnswer(Box<Gossip>),
    /// An operator requests the status.
    Status(Sender<AgentStatus>),
    /// An operator requests the metrics as text.
    Metrics(Sender<String>),
    /// The engine reported an event of an attempt.
    Engine(AttemptId, EngineEvent),
    /// The engine's list of sequences.
    Sequences(SequenceList),
    /// The engine's cache events.
    CacheEvents(CacheEvents),
    /// The tick interval has passed.
    Tick,
    /// The process was asked to stop.
    Leave,
}
