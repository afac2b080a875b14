//! What the scheduler wants done.

use crate::refusal::Refusal;
use crate::types::AttemptId;

/// An order to the engine, or news for the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the attempt to the engine; a lower `priority` is served first.
    Submit {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's priority.
        priority: u8,
    },
    /// Export the attempt's KV cache and stop it; answer with [`super::Scheduler::record_pause`].
    Pause {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Import the attempt's KV cache and go on.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's priority.
        priority: u8,
    },
    /// Stop the attempt at the engine; answer with [`super::Scheduler::record_end`].
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the memory of a group's part back to the engine.
    Release {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell the entry that the attempt was not run and never will be; it is forgotten here.
    Expire {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        refusal: Refusal,
    },
    /// Tell the entry that the engine lost the attempt; it is forgotten here.
    Lost {
        /// The attempt.
        attempt: AttemptId,
    },
}
