//! A gossip message between entries.

use super::Row;
use super::Stamp;
use crate::conviction::Suspect;
use crate::types::NodeId;

crate::data! {
    /// An entry's load on backend servers and its suspects, as sent to peers.
    pub struct Digest {
        /// The sending entry.
        pub node: NodeId,
        /// The order among the sender's messages.
        pub stamp: Stamp,
        /// Its load, one row for each backend server.
        pub rows: Vec<Row>,
        /// Requests suspected of crashing backend servers.
        pub suspects: Vec<Suspect>,
    }
}
