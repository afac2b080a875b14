//! A lease as the store holds it.

use crate::types::Fence;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;

crate::data! {
    /// The value of a lease's key. It is never deleted, so that fencing numbers only rise.
    pub struct LeaseRecord {
        /// The holder.
        pub node: NodeId,
        /// Its start number.
        pub incarnation: Incarnation,
        /// The fencing number; each change of holder raises it.
        pub fence: Fence,
        /// The number of the holder's write: a lost answer is settled by it, and never by a write
        /// of other times.
        pub count: u64,
        /// How long each renewal holds; a successor waits for as long.
        pub ttl: Millis,
        /// Whether the holder gave it back, so that nobody need wait.
        pub released: bool,
    }
}

impl LeaseRecord {
    /// Reads the value of a lease's key; `None` if it is no lease.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The value for the store.
    ///
    /// # Panics
    /// Never: a record has only text and numbers.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is plain data")
    }

    /// Whether both name the same life of the same process.
    #[must_use]
    pub fn is_held_by(&self, other: &Self) -> bool {
        self.node == other.node && self.incarnation == other.incarnation
    }
}
