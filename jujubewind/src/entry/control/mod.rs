//! The control task, which owns the entry's shared state: catalogue, membership, limits and retry
//! budget.

mod admission;
mod follow;
mod handle;
mod message;
mod placement;
mod reader;
mod state;
mod tasks;

pub use handle::Control;
pub use message::Admission;
pub use message::Choice;
pub use message::Permit;
pub use state::start;
