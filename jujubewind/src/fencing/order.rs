//! What an order carries for its own protection.

use crate::types::Fence;
use crate::types::Millis;

crate::data! {
    /// The proof that a leader may give an order.
    pub struct Order {
        /// The leader's fencing number.
        pub fence: Fence,
        /// How long its lease still held when it sent the order.
        pub remaining: Millis,
    }
}

crate::label! {
    /// What an engine does with an old fencing number.
    pub enum Enforcement {
        /// It refuses the order.
        Refuses = "refuses",
        /// It runs the order all the same.
        Ignores = "ignores",
    }
}
