//! What a request's machine is told.

use super::Target;
use crate::refusal::Refusal;
use crate::rpc::message::CancelReply;
use crate::rpc::message::PullReply;
use crate::rpc::message::StartReply;
use crate::types::AttemptId;

/// One thing that happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An agent was chosen, or none would take it.
    Placed(Result<Target, Refusal>),
    /// The agent answered the start; `None` if no answer came, though it may have arrived.
    Started(Option<StartReply>),
    /// The start was never sent: no connection came about.
    Unsent,
    /// The agent answered a pull; `None` if no answer came.
    Pulled(Option<PullReply>),
    /// An agent told what became of an attempt that was given up.
    Fenced(AttemptId, CancelReply),
    /// The retry budget allows another try, or refuses it.
    Retry(Result<(), Refusal>),
    /// The wait that was asked for is over.
    Waited,
    /// The time is over.
    Expired,
    /// The caller went away.
    Abandoned,
}
