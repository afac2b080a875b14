//! The memory that a process may take, and how it is shared.

use crate::types::Bytes;

/// The share of connections of callers, in thousandths.
const CONNECTIONS_PERMILLE: u64 = 250;
/// The share of requests and responses that are held, in thousandths. The rest is for the program, its
/// state and its connections to backend servers.
const HELD_PERMILLE: u64 = 400;

crate::quantity! {
    /// The resident memory beyond which a process is ended by its machine.
    pub struct ProcessMemory(u64), "B";
}

impl ProcessMemory {
    /// The share of callers' connections.
    #[must_use]
    pub const fn connections(self) -> Bytes {
        self.share(CONNECTIONS_PERMILLE)
    }

    /// The share of requests and responses that are held.
    #[must_use]
    pub const fn held(self) -> Bytes {
        self.share(HELD_PERMILLE)
    }

    const fn share(self, permille: u64) -> Bytes {
        Bytes(self.0 / 1_000 * permille)
    }
}
