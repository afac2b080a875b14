//! Actions that the scheduler requests of its caller.

use crate::refusal::Refusal;
use crate::types::AttemptId;

/// A command for the engine or a notification for the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submit the attempt to the engine; a lower `priority` is served first.
    Submit {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's priority.
        priority: u8,
    },
    /// Export the attempt's KV cache and stop it; confirm with [`super::Scheduler::record_pause`].
    Pause {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Import the attempt's KV cache and resume it.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's priority.
        priority: u8,
    },
    /// Stop the attempt at the engine; confirm with [`super::Scheduler::record_end`].
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Release the memory that the engine holds for a part of a group.
    Release {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell the entry that the attempt did not run and never will; the scheduler drops it.
    Expire {
        /// The attempt.
        attempt: AttemptId,
        /// The reason for the entry.
        refusal: Refusal,
    },
    /// Tell the entry that the engine lost the attempt; the scheduler drops it.
    Lost {
        /// The attempt.
        attempt: AttemptId,
    },
}
