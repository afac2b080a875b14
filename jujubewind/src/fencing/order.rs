//! The fencing data of an order.

use crate::types::Fence;
use crate::types::Millis;

crate::data! {
    /// The fencing data that a leader attaches to an order.
    pub struct Order {
        /// The leader's fencing token.
        pub fence: Fence,
        /// The remaining time of the leader's lease when it sent the order.
        pub remaining: Millis,
    }
}

crate::label! {
    /// How an engine handles a stale fencing token.
    pub enum Enforcement {
        /// It refuses the order.
        Refuses = "refuses",
        /// It executes the order regardless.
        Ignores = "ignores",
    }
}
