//! The work a stop has to wait for.

use crate::types::MonoTime;

/// The requests in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequests {
    /// How many there are, answers not yet fetched included.
    pub open: usize,
    /// When the time of the last of them is over.
    pub deadline: MonoTime,
}

impl OpenRequests {
    /// No request in hand.
    pub const NONE: Self = Self {
        open: 0,
        deadline: MonoTime::ZERO,
    };

    /// Notes a request that is taken and ends at `deadline` at the latest.
    pub fn begin(&mut self, deadline: MonoTime) {
        self.open += 1;
        self.deadline = self.deadline.max(deadline);
    }

    /// Notes that a request is over.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}
