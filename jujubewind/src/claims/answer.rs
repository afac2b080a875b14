//! How a call ends.

use super::Kept;
use crate::refusal::Refusal;

/// What an entry tells its caller.
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
        /// The body; `None` if it was too long to keep.
        body: Option<Vec<u8>>,
    },
    /// The call was not run and will not be.
    NotRun(Refusal),
    /// The call may have run, once, or may still run.
    Unknown,
}

impl Answer {
    /// The answer that an earlier call was given.
    pub(super) fn replay(kept: Option<Kept>) -> Self {
        kept.map_or(Self::Unknown, |kept| Self::Replay {
            status: kept.status,
            body: kept.body.map(|body| body.0),
        })
    }
}

/// What became of the one send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The service answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The agent itself says that the attempt never reached the service and never will.
    NotRun(Refusal),
    /// No answer came.
    Unknown,
}
