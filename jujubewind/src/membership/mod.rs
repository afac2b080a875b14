//! Gossip-based membership: which processes are alive, leaving or dead, as each process sees it.
//!
//! Each process sends heartbeats to a few monitoring entries of its own failure domain. A monitor
//! probes a silent member, then declares it suspect and finally dead. Entries gossip changes to
//! random peers and compare a digest per failure domain, so that missed changes are repaired. The
//! platform's VM list introduces unknown processes and marks those that leave; it never declares
//! one dead.

mod bootstrap_peers;
mod domain_activity;
mod error;
mod exchange;
mod failure_detector;
mod heartbeats;
pub mod limits;
mod local;
mod member;
mod membership_state;
mod outgoing;
mod peers;
mod rendezvous;
mod reply;
mod role;
mod rumors;
mod seed;
mod status;
mod table;
mod view;

pub use error::Error;
pub use error::Result;
pub use exchange::BUCKETS;
pub use member::Member;
pub use membership_state::MembershipState;
pub use outgoing::Outgoing;
pub use rendezvous::weight;
pub use role::Role;
pub use seed::Seed;
pub use status::Status;
pub use view::Candidate;
pub use view::View;
