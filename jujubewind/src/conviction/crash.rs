//! One death of a backend server.

use rapidhash::v3::rapidhash_v3;

use crate::types::Incarnation;
use crate::types::NodeId;

crate::data! {
    /// A death of a backend server, as the agent beside it knows it.
    pub struct Crash {
        /// The agent.
        pub node: NodeId,
        /// Its start number.
        pub incarnation: Incarnation,
        /// The start number of the backend server that died.
        pub number: u64,
    }
}

impl Crash {
    /// A hash by which reports of one crash through several entries count once.
    #[must_use]
    pub fn id(&self) -> u64 {
        let mut bytes = self.node.as_str().as_bytes().to_vec();
        bytes.extend(self.incarnation.get().to_le_bytes());
        bytes.extend(self.number.to_le_bytes());
        rapidhash_v3(&bytes)
    }
}
