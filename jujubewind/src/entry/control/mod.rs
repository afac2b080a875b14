//! The entry's shared state, owned by one task: catalogue, members, limits, retry budget.

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
