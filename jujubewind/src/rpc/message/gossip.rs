//! Gossip between processes that share state.

use crate::conviction::Suspect;
use crate::membership::Member;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Revision;

crate::data! {
    /// A gossip message.
    pub struct Gossip {
        /// The sender.
        pub sender: NodeId,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// The version of the sender's own record.
        pub version: u32,
        /// The sender's failure domain.
        pub domain: DomainId,
        /// The catalogue revision in force at the sender.
        pub revision: Revision,
        /// Requests suspected of crashing backend servers.
        pub suspects: Vec<Suspect>,
        /// The content, which depends on the kind of message.
        pub news: GossipBody,
    }

    /// The kinds of gossip messages; each holds a bounded number of records.
    pub enum GossipBody {
        /// A member's heartbeat to an entry that monitors it.
        Heartbeat {
            /// The member's record, until the monitor has acknowledged it.
            member: Option<Box<Member>>,
            /// The digest of the entries that it knows in the failure domain that monitors it.
            sum: u64,
        },
        /// An entry compares its view with another entry's.
        Exchange {
            /// The sender's view of each failure domain.
            pulses: Vec<DomainSummary>,
            /// The digest of the requests that the sender suspects.
            cases: u64,
            /// Recently changed records.
            records: Vec<Member>,
        },
        /// An entry sends its recent changes to another.
        Push {
            /// The changed records.
            records: Vec<Member>,
        },
        /// An entry repairs a difference found by an exchange.
        Repair {
            /// The failure domain.
            domain: DomainId,
            /// The buckets that differ.
            buckets: Vec<u8>,
            /// The sender's records in these buckets.
            records: Vec<Member>,
        },
        /// Requests the record of a silent or unknown process.
        Probe {
            /// The sender's record, from which the member learns where to send heartbeats.
            sender: Box<Member>,
        },
        /// The answer to any of the other kinds.
        Answer {
            /// Whether the other side should send its record.
            ask: bool,
            /// In answer to an exchange, the sender's view of each failure domain.
            pulses: Vec<DomainSummary>,
            /// In answer to an exchange, the bucket digests of a failure domain whose view differs.
            detail: Option<BucketDigests>,
            /// Records that the other side is missing.
            records: Vec<Member>,
        },
    }

    /// An entry's view of one failure domain.
    pub struct DomainSummary {
        /// The failure domain.
        pub domain: DomainId,
        /// Time since its last sign of life.
        pub age: Millis,
        /// The digest of its members.
        pub sum: u64,
    }

    /// The digests of one failure domain's buckets.
    pub struct BucketDigests {
        /// The failure domain.
        pub domain: DomainId,
        /// The digest of each bucket.
        pub sums: Vec<u64>,
    }
}
