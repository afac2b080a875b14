//! The right to send a call.

use crate::types::AttemptId;

/// The right to send one call, once; only a claim marked as dispatched gives it, and it has no copy.
///
/// Whoever has it may offer the call to another agent only after the first agent itself refused.
#[derive(Debug, PartialEq, Eq)]
pub struct SendPermit {
    attempt: AttemptId,
}

impl SendPermit {
    pub(super) const fn new(attempt: AttemptId) -> Self {
        Self { attempt }
    }

    /// The attempt to name in the call.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.attempt
    }
}
