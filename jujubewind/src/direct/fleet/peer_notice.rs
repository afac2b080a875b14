//! A backend server's announcement, as sent to peers.

use super::Notice;
use super::ServerId;
use crate::types::Incarnation;

crate::data! {
    /// An announcement of one incarnation of a backend server.
    pub struct PeerNotice {
        /// The server.
        pub server: ServerId,
        /// Its incarnation.
        pub started: Option<Incarnation>,
        /// What it announced; the pause is what remains of it.
        pub notice: Notice,
    }
}
