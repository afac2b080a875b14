//! The decisions of one request: where it goes, what is retried, when it is given up.

mod doubts;
mod input;
mod machine;
mod output;
mod phase;
mod target;

pub use input::Input;
pub use machine::Machine;
pub use output::Output;
pub use phase::Phase;
pub use phase::Step;
pub use target::Helpers;
pub use target::Target;
