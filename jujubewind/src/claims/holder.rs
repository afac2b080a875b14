//! The holder of a claim.

use crate::types::Incarnation;
use crate::types::NodeId;

crate::data! {
    /// One incarnation of an entry.
    pub struct Holder {
        /// The entry.
        pub node: NodeId,
        /// Its incarnation number.
        pub incarnation: Incarnation,
    }
}
