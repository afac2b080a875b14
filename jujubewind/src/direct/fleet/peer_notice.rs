//! What an entry tells its peers of a backend server.

use super::Delisting;
use super::Notice;
use super::ServerId;
use super::ToldLimit;
use crate::types::Incarnation;

crate::data! {
    /// What one incarnation of a backend server announced, or how it left the list.
    pub struct PeerNotice {
        /// The server.
        pub server: ServerId,
        /// Its incarnation.
        pub started: Option<Incarnation>,
        /// What it announced; the pause is what remains of it, and the limit is told
        /// apart.
        pub notice: Notice,
        /// How it left the list.
        pub delisting: Option<Delisting>,
        /// The limit that it named.
        pub limit: Option<ToldLimit>,
    }
}
