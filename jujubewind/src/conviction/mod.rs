//! Detection of poison requests, which crash backend servers, by their fingerprint.
//!
//! A crash makes every request in flight on that server a suspect. A suspect runs alone on a
//! server. If it completes, it is cleared; if it keeps crashing servers, it is convicted and
//! refused until the crashes expire. Entries share suspects by gossip. With agents nothing is stored on
//! the platform; without them, convictions are kept in its store, so that they outlast all entries.
//!
//! Without agents, the parts of a prompt that requests share are suspected as well: each part of a
//! request whose answer was only beginning. A part is convicted if nothing else that the crashed
//! requests share explains the same crashes, and no answer on it goes on.
//!
//! What is convicted is tried again: one request at a time may run, through whichever entry, after a
//! pause that grows with each trial that crashes a server. A trial whose answer goes on ends the
//! conviction at all entries.

mod admission;
mod conviction_change;
mod crash;
mod crash_history;
mod fingerprint;
mod kept;
pub mod limits;
mod mark;
mod prints;
mod sound_parts;
mod suspect;
mod suspect_registry;
mod turns;
mod verdict;

pub use admission::Admission;
pub use conviction_change::ConvictionChange;
pub use crash::Crash;
pub use fingerprint::Fingerprint;
pub use mark::Mark;
pub use prints::Prints;
pub use sound_parts::SoundParts;
pub use suspect::Suspect;
pub use suspect_registry::SuspectRegistry;
pub use verdict::Verdict;
