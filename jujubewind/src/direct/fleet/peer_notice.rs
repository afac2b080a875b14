//! What an entry tells its peers of a backend server.

use super::Delisting;
use super::Notice;
use super::ServerId;
use crate::types::Incarnation;

crate::data! {
    /// What one incarnation of a backend server announced, or how it left the list.
    pub struct PeerNotice {
        /// The server.
        pub server: ServerId,
        /// Its incarnation.
        pub started: Option<Incarnation>,
        /// What it announced; the pause is what remains of it.
        pub notice: Notice,
        /// How it left the list.
        pub delisting: Option<Delisting>,
    }
}
