//! What an entry says of itself and of the members it knows.

use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Revision;

crate::data! {
    /// The answer of `GET /status`.
    pub struct EntryStatus {
        /// The entry.
        pub node: NodeId,
        /// Its start number.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// The catalogue revision in force here.
        pub revision: Revision,
        /// The time since the store or another process last spoke of its revision.
        pub confirmed: Option<Millis>,
        /// Whether it is stopping.
        pub stopping: bool,
        /// The members it knows, dead ones left out.
        pub members: Vec<MemberStatus>,
    }

    /// One member as the entry sees it.
    pub struct MemberStatus {
        /// The process.
        pub node: NodeId,
        /// Its role: `entry` or `agent`.
        pub role: String,
        /// Its failure domain.
        pub domain: DomainId,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Whether it or its failure domain is silent.
        pub suspect: bool,
    }
}
