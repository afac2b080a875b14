//! Command-line interface.

mod embedded;
mod options;
mod run;

pub use options::Command;
pub use options::command;
pub use run::run;
