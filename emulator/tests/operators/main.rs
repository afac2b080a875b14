//! The operators' command against the platform's stand-in, as its own process.

mod checking;
mod declaration;
mod failures;
mod finding;
mod jujube;
mod publishing;
mod site;
mod usage;
mod waiting;
