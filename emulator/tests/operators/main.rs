//! The `jujube` command, run as a separate process against the platform emulator.

mod checking;
mod command_output;
mod declaration;
mod failures;
mod fleet;
mod fleet_status;
mod jujube;
#[allow(dead_code, reason = "shared with the system tests")]
#[path = "../system/process.rs"]
mod process;
mod publishing;
mod test_platform;
mod usage;
mod waiting;
