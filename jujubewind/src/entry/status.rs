//! The status of an entry and of the members that it knows.

use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Revision;

crate::data! {
    /// The response of `GET /status`.
    pub struct EntryStatus {
        /// The entry.
        pub node: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// The catalogue revision that it uses.
        pub revision: Revision,
        /// Time since the store or another process last reported its revision.
        pub confirmed: Option<Millis>,
        /// Whether it is stopping.
        pub stopping: bool,
        /// The members that it knows, without dead ones.
        pub members: Vec<MemberStatus>,
    }

    /// One member from the entry's point of view.
    pub struct MemberStatus {
        /// The process.
        pub node: NodeId,
        /// Its role: `entry` or `agent`.
        pub role: String,
        /// Its failure domain.
        pub domain: DomainId,
        /// Whether it is shutting down and accepts no new work.
        pub leaving: bool,
        /// Whether it, or its whole failure domain, is suspected to have failed.
        pub suspect: bool,
    }
}
