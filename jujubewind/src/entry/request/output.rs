//! What a request's machine wants done.

use super::Target;
use crate::entry::Failure;
use crate::refusal::Reason;
use crate::rpc::message::Finish;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Tokens;

/// One thing to do for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Choose an agent, none of `excluded`.
    Place {
        /// Agents that failed or refused this request.
        excluded: Vec<NodeId>,
    },
    /// Hand the request to an agent.
    Start {
        /// The agent.
        target: Target,
        /// The attempt.
        attempt: AttemptId,
        /// The first token wanted.
        offset: Tokens,
    },
    /// Ask for tokens.
    Pull {
        /// The agent.
        target: Target,
        /// The attempt.
        attempt: AttemptId,
        /// The first token wanted.
        offset: Tokens,
    },
    /// Fence an attempt; nobody waits for the answer.
    Cancel {
        /// The agent.
        target: Target,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask the retry budget for one more attempt.
    AskRetry {
        /// The attempts made so far.
        attempts: u32,
        /// Why the last one was given up.
        reason: Reason,
    },
    /// Come back with [`super::Input::Waited`] after a while.
    Wait(Millis),
    /// Hand tokens to the caller.
    Emit(Vec<String>),
    /// Count a frame that belonged to another attempt or place.
    Dropped,
    /// Tell the caller that the answer is whole.
    Finish(Finish, Tokens),
    /// Tell the caller that the request failed.
    Fail(Failure),
}
