//! The open requests that a drain waits for.

use crate::types::MonoTime;

/// Count and latest deadline of the open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequests {
    /// Number of open requests, including answers not yet fetched.
    pub open: usize,
    /// The latest deadline among them.
    pub deadline: MonoTime,
}

impl OpenRequests {
    /// No open requests.
    pub const NONE: Self = Self {
        open: 0,
        deadline: MonoTime::ZERO,
    };

    /// Records the start of a request with this deadline.
    pub fn begin(&mut self, deadline: MonoTime) {
        self.open += 1;
        self.deadline = self.deadline.max(deadline);
    }

    /// Records the end of a request.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}
