//! The memory that a process may take, and how it is shared.

use crate::types::Bytes;

/// The share of connections of callers, in thousandths.
const CONNECTIONS_PERMILLE: u64 = 250;
/// The share of connections of other processes of the system, and of operators, in thousandths.
const PEERS_PERMILLE: u64 = 100;
/// The share of requests and responses that are held, in thousandths. The rest is for the program, its
/// state and its connections to backend servers.
const HELD_PERMILLE: u64 = 400;
/// The share of the largest request, in thousandths: with its copies on the way, three times as much, it
/// stays within what large requests may hold.
const LARGEST_PERMILLE: u64 = 65;

crate::quantity! {
    /// The resident memory beyond which a process is ended by its machine.
    pub struct ProcessMemory(u64), "B";
}

impl ProcessMemory {
    /// What a process takes if its settings do not say.
    pub const DEFAULT: Self = Self(256 << 20);
    /// The least memory with which a process serves.
    pub const MIN: Self = Self(32 << 20);

    /// The share of callers' connections.
    #[must_use]
    pub const fn connections(self) -> Bytes {
        self.share(CONNECTIONS_PERMILLE)
    }

    /// The share of connections of other processes of the system, and of operators.
    #[must_use]
    pub const fn peers(self) -> Bytes {
        self.share(PEERS_PERMILLE)
    }

    /// The share of requests and responses that are held.
    #[must_use]
    pub const fn held(self) -> Bytes {
        self.share(HELD_PERMILLE)
    }

    /// The largest request for which there is always room in calm, with its copies on the way.
    #[must_use]
    pub const fn largest_request(self) -> Bytes {
        self.share(LARGEST_PERMILLE)
    }

    const fn share(self, permille: u64) -> Bytes {
        Bytes(self.0.saturating_mul(permille) / 1_000)
    }
}
