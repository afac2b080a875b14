//! The operators' command against the platform's stand-in, as its own process.

mod checking;
mod declaration;
mod failures;
mod finding;
mod fleet;
mod fleet_status;
mod jujube;
#[allow(dead_code, reason = "shared with the system tests")]
#[path = "../system/process.rs"]
mod process;
mod publishing;
mod site;
mod usage;
mod waiting;
