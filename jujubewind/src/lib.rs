//! A serving layer between callers and back ends for prompts of very unlike lengths.
//!
//! Decisions live in plain state machines that take a time and an input and give outputs; the
//! daemons turn bytes into inputs and outputs into bytes.

#[macro_use]
pub mod util;

pub mod chart;
pub mod claims;
pub mod credit;
pub mod fencing;
pub mod lease;
pub mod prefix;
pub mod refusal;
pub mod rpc;
pub mod store;
pub mod timer;
pub mod types;
