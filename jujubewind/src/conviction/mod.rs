//! Requests that crash backend servers, known by their fingerprint.
//!
//! A crash makes every request in flight there a suspect. A suspect runs alone; one that completes
//! is cleared, one that goes on crashing is convicted and refused until the conviction ends.
//! Entries tell one another of suspects by gossip; nothing of it is kept in the platform's store.

mod case;
mod crash;
mod fingerprint;
pub mod limits;
mod mark;
mod suspect;
mod suspect_registry;
mod verdict;

pub use crash::Crash;
pub use fingerprint::Fingerprint;
pub use mark::Mark;
pub use suspect::Suspect;
pub use suspect_registry::SuspectRegistry;
pub use verdict::Verdict;
