//! Who holds a claim.

use crate::types::Incarnation;
use crate::types::NodeId;

crate::data! {
    /// One life of an entry.
    pub struct Holder {
        /// The entry.
        pub node: NodeId,
        /// Its start number.
        pub incarnation: Incarnation,
    }
}
