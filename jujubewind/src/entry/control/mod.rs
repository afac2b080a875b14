//! The entry's shared state, owned by one task: catalogue, members, limits, retry budget.

mod handle;
mod message;
mod state;

pub use handle::Control;
pub use message::Admission;
pub use message::Permit;
pub use state::start;
