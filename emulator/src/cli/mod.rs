//! The command line.

mod options;
mod run;

pub use options::Command;
pub use options::command;
pub use run::run;
