//! A gossip message between entries.

use super::Row;
use super::Stamp;
use crate::conviction::Suspect;
use crate::direct::PeerNotice;
use crate::types::NodeId;
use crate::types::Revision;

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
        /// Announcements of backend servers to the sender.
        pub notices: Vec<PeerNotice>,
        /// The newest version of the configuration that the sender knows to be in force; zero if it
        /// does not know yet.
        pub newest: Revision,
    }
}
