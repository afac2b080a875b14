//! News between processes that share state.

use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::NodeId;
use crate::types::Revision;

crate::data! {
    /// What one process tells another at one time.
    pub struct Gossip {
        /// The sender.
        pub sender: NodeId,
        /// Its start number.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// The catalogue revision it has in force.
        pub revision: Revision,
    }
}
