//! The stored form of a lease.

use crate::types::Fence;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;

crate::data! {
    /// The value of a lease's key. It is never deleted, so that fencing tokens only rise.
    pub struct LeaseRecord {
        /// The holder.
        pub node: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// The fencing token; each change of holder raises it.
        pub fence: Fence,
        /// The number of the holder's write. It identifies the write when its answer was lost, so
        /// that an earlier write is not mistaken for it.
        pub count: u64,
        /// How long each renewal is valid; a successor waits as long.
        pub ttl: Millis,
        /// Whether the holder released it, so that a successor need not wait.
        pub released: bool,
    }
}

impl LeaseRecord {
    /// Parses the value of a lease's key; `None` if it is not a lease.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Serializes the record for the store.
    ///
    /// # Panics
    /// Never panics: a record has only text and numbers.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is plain data")
    }

    /// Whether both records name the same incarnation of the same process.
    #[must_use]
    pub fn is_held_by(&self, other: &Self) -> bool {
        self.node == other.node && self.incarnation == other.incarnation
    }
}
