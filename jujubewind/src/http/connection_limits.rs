//! How many connections a server keeps.

use crate::types::Bytes;

/// What a connection takes that waits for a request, beside the head that it has read.
const IDLE_CONNECTION: Bytes = Bytes(48 * 1_024);
/// The least number of connections.
const MIN_CONNECTIONS: u64 = 16;

/// What the connections of a server may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The memory for them, with the largest heads.
    pub memory: Bytes,
    /// The most descriptors for them.
    pub descriptors: u64,
}

impl ConnectionLimits {
    /// No limits.
    pub const NONE: Self = Self {
        memory: Bytes(u64::MAX),
        descriptors: u64::MAX,
    };

    /// The greatest number of connections with heads of at most `head`.
    #[must_use]
    pub fn most(&self, head: Bytes) -> usize {
        let each = IDLE_CONNECTION.saturating_add(head);
        let most = (self.memory.get() / each.get()).min(self.descriptors);
        usize::try_from(most.max(MIN_CONNECTIONS)).unwrap_or(usize::MAX)
    }
}
