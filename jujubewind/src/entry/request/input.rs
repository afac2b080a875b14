//! Inputs of a request's state machine.

use super::Target;
use crate::refusal::Refusal;
use crate::rpc::message::CancelReply;
use crate::rpc::message::PullReply;
use crate::rpc::message::StartReply;
use crate::types::AttemptId;

/// An event of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An agent was chosen, or none accepts the request.
    Placed(Result<Target, Refusal>),
    /// The agent answered the start; `None` if no answer came, although the agent may have got it.
    Started(Option<StartReply>),
    /// The start was not sent, as the connection failed.
    Unsent,
    /// The agent answered a pull; `None` if no answer came.
    Pulled(Option<PullReply>),
    /// An agent answered the cancellation of an attempt that was given up.
    Fenced(AttemptId, CancelReply),
    /// The retry budget allowed or refused another attempt.
    Retry(Result<(), Refusal>),
    /// The requested wait is over.
    Waited,
    /// The request's deadline has passed.
    Expired,
    /// The caller disconnected.
    Abandoned,
}
