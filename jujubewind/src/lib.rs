//! A serving layer between callers and backend servers for prompts of very different lengths.
//!
//! Decisions are made by state machines without I/O, which take a time and an input and return
//! outputs; the daemons translate between these and network traffic.

#[macro_use]
pub mod util;

pub mod agent;
pub mod catalogue;
pub mod chart;
pub mod claims;
pub mod cli;
pub mod conviction;
pub mod credit;
pub mod daemon;
pub mod direct;
pub mod entry;
pub mod fencing;
pub mod http;
pub mod lease;
pub mod lifecycle;
pub mod limits;
pub mod logging;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod pace;
pub mod prefix;
pub mod refusal;
pub mod retry;
pub mod routing;
pub mod rpc;
pub mod scheduler;
pub mod settings;
pub mod store;
pub mod timer;
pub mod trace;
pub mod types;
pub mod wire;
