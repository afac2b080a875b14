//! Permit to send a call.

use crate::types::AttemptId;

/// Permit to send one call once. Only a claim marked as dispatched issues it, and it cannot be
/// copied.
///
/// Its owner may offer the call to another agent only after the first agent itself refused it.
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
