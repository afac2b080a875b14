//! The real binaries together, each its own process on loopback.

mod answer;
mod caller;
mod failures;
mod fleet;
mod groups;
mod process;
mod settings;
mod whole_path;
