//! The control task and the state it owns: servers, load, queue, retry budgets and suspects.

mod availability;
mod candidate_set;
mod core;
mod counts;
mod crashes;
mod entry_state;
mod exchange;
mod fleet_change;
mod fleet_changes;
mod grant;
mod handle;
mod limits;
mod message;
mod outcome;
mod peer;
mod peer_routes;
mod placing;
mod queueing;
mod retry;
mod task;
mod updates;
mod verdict;

pub use core::Core;
pub use core::CoreSettings;
pub use counts::Counts;
pub use entry_state::EntryState;
pub use fleet_change::FleetChange;
pub use grant::Grant;
pub use handle::Control;
pub use message::Message;
pub use outcome::Outcome;
pub use peer::Peer;
pub use peer_routes::PeerRoutes;
pub use retry::Retry;
pub use task::start;
pub use verdict::Verdict;
