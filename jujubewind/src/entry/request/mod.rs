//! The state machine of one request: placement, retries and giving up.

mod input;
mod machine;
mod output;
mod phase;
mod target;
mod uncertain_attempts;

pub use input::Input;
pub use machine::Machine;
pub use output::Output;
pub use phase::Phase;
pub use phase::Step;
pub use target::Helpers;
pub use target::Target;
