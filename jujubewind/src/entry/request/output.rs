//! Outputs of a request's state machine.

use super::Target;
use crate::entry::Failure;
use crate::refusal::Reason;
use crate::rpc::message::Finish;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Tokens;

/// An action to take for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Choose an agent that is not in `excluded`.
    Place {
        /// Agents that failed or refused this request.
        excluded: Vec<NodeId>,
    },
    /// Start the request at an agent.
    Start {
        /// The agent.
        target: Target,
        /// The attempt.
        attempt: AttemptId,
        /// Offset of the first token to return.
        offset: Tokens,
    },
    /// Pull tokens from an agent.
    Pull {
        /// The agent.
        target: Target,
        /// The attempt.
        attempt: AttemptId,
        /// Offset of the first token to return.
        offset: Tokens,
    },
    /// Cancel an attempt, without waiting for the answer.
    Cancel {
        /// The agent.
        target: Target,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask the retry budget for one more attempt.
    AskRetry {
        /// Number of attempts made so far.
        attempts: u32,
        /// Why the last attempt was given up.
        reason: Reason,
    },
    /// Wait, then pass in [`super::Input::Waited`].
    Wait(Millis),
    /// Send tokens to the caller.
    Emit(Vec<String>),
    /// Count a dropped frame that had another attempt or offset.
    Dropped,
    /// Tell the caller that the answer is complete.
    Finish(Finish, Tokens),
    /// Tell the caller that the request failed.
    Fail(Failure),
}
