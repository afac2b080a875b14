//! The real binaries together, each its own process on loopback.

mod answer;
mod caller;
mod declarations;
mod failures;
mod fleet;
mod groups;
mod poison;
mod process;
mod settings;
mod stops;
mod whole_path;
