//! The command line.

mod options;
mod run;
mod whole;

pub use options::Command;
pub use options::command;
pub use run::run;
