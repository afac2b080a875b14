//! The work a stop has to wait for.

use crate::types::MonoTime;

/// The requests in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// How many there are, answers not yet fetched included.
    pub open: usize,
    /// When the time of the last of them is over.
    pub deadline: MonoTime,
}

impl Load {
    /// No request in hand.
    pub const NONE: Self = Self {
        open: 0,
        deadline: MonoTime::ZERO,
    };
}
