//! The outcome of a call.

use super::StoredAnswer;
use crate::refusal::Refusal;

/// The answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The service answered this call.
    Run {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The service answered an earlier call with the same key.
    Replay {
        /// The HTTP status.
        status: u16,
        /// The body; `None` if it was too long to store.
        body: Option<Vec<u8>>,
    },
    /// The call was not run and will not run.
    NotRun(Refusal),
    /// The call may have run once, or may still be running.
    Unknown,
}

impl Answer {
    /// Creates the replay of an earlier answer.
    pub(super) fn replay(kept: Option<StoredAnswer>) -> Self {
        kept.map_or(Self::Unknown, |kept| Self::Replay {
            status: kept.status,
            body: kept.body.map(|body| body.0),
        })
    }
}

/// The outcome of the single send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The service answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The agent confirms that the attempt did not reach the service and never will.
    NotRun(Refusal),
    /// No answer came.
    Unknown,
}
