//! News between processes that share state.

use crate::conviction::Suspect;
use crate::membership::Member;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Revision;

crate::data! {
    /// What one process tells another at one time.
    pub struct Gossip {
        /// The sender.
        pub sender: NodeId,
        /// Its start number.
        pub incarnation: Incarnation,
        /// The version of its own record.
        pub version: u32,
        /// Its failure domain.
        pub domain: DomainId,
        /// The catalogue revision it has in force.
        pub revision: Revision,
        /// Requests under suspicion of crashing backend servers.
        pub suspects: Vec<Suspect>,
        /// What it has to say.
        pub news: GossipBody,
    }

    /// The kinds of news; each holds a bounded number of records.
    pub enum GossipBody {
        /// A member tells its home that it lives.
        Heartbeat {
            /// Its record, until the home has shown that it has it.
            member: Option<Box<Member>>,
            /// The digest of the entries it knows in the failure domain that watches it.
            sum: u64,
        },
        /// An entry compares views with another.
        Exchange {
            /// What it has of each failure domain.
            pulses: Vec<DomainSummary>,
            /// The digest of the requests it suspects.
            cases: u64,
            /// Records that changed lately.
            records: Vec<Member>,
        },
        /// An entry tells another what changed lately.
        Push {
            /// The changed records.
            records: Vec<Member>,
        },
        /// An entry mends a difference that an exchange showed.
        Repair {
            /// The failure domain.
            domain: DomainId,
            /// The buckets that differ.
            buckets: Vec<u8>,
            /// The sender's records in them.
            records: Vec<Member>,
        },
        /// Asks a silent or unknown process for its record.
        Probe {
            /// The sender's record, by which a member knows whom to heartbeat to.
            sender: Box<Member>,
        },
        /// The answer to any of these.
        Answer {
            /// Whether the sender's record is wanted.
            ask: bool,
            /// What it has of each failure domain, to an exchange.
            pulses: Vec<DomainSummary>,
            /// The digests of one failure domain's buckets, to an exchange that differs there.
            detail: Option<BucketDigests>,
            /// Records that the other side lacks.
            records: Vec<Member>,
        },
    }

    /// What an entry has of one failure domain.
    pub struct DomainSummary {
        /// The failure domain.
        pub domain: DomainId,
        /// The time since its last sign of life.
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
