//! A crash of a backend server.

use rapidhash::v3::rapidhash_v3;

use crate::types::Incarnation;
use crate::types::NodeId;

crate::data! {
    /// The identity of a crash of a backend server.
    pub struct Crash {
        /// The agent of the server, or the server itself if it has no agent.
        pub node: NodeId,
        /// The incarnation of `node`.
        pub incarnation: Incarnation,
        /// The incarnation of the backend server that crashed; zero if `incarnation` is already the
        /// server's own.
        pub number: u64,
    }
}

impl Crash {
    /// Returns a hash that identifies the crash, so that reports of it through several entries are
    /// counted once.
    #[must_use]
    pub fn id(&self) -> u64 {
        let mut bytes = self.node.as_str().as_bytes().to_vec();
        bytes.extend(self.incarnation.get().to_le_bytes());
        bytes.extend(self.number.to_le_bytes());
        rapidhash_v3(&bytes)
    }
}
