//! End-to-end tests of the real binaries as separate processes on loopback.

mod answer;
mod bad_callers;
mod caller;
mod catalogue;
mod claim_crashes;
mod claims;
mod declaration;
mod desk;
mod failures;
mod fleet;
mod groups;
mod leaving;
mod limits;
mod poison;
mod process;
mod settings;
mod spending;
mod stops;
mod whole_path;
