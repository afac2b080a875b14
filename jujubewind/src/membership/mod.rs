//! Who is there, who is leaving and who is dead, as each process sees it.
//!
//! Each process heartbeats to a few home entries of its own failure domain; a home turns silence
//! into a probe, a suspicion and then a death. Entries spread what changed to random peers and
//! compare digests for each failure domain, so that what a peer missed is repaired. The platform's
//! list of VMs brings unknown processes in and marks those that leave; it kills nobody.

mod contacts;
mod error;
mod exchange;
mod heartbeats;
pub mod limits;
mod local;
mod member;
mod membership_state;
mod outgoing;
mod peers;
mod pulses;
mod rendezvous;
mod reply;
mod role;
mod rumors;
mod seed;
mod status;
mod table;
mod view;
mod watch;

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
