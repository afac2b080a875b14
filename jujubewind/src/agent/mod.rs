//! The agent: the only process that talks to its backend server.

mod admin;
mod attempt;
mod cached_blocks;
mod call_answer;
mod call_limit;
mod calls;
mod command;
mod core;
mod daemon;
mod download;
mod engine_client;
mod error;
mod event;
mod listing;
mod message;
mod quarantine;
mod server;
mod service_client;
mod upload;

pub use command::Command;
pub use core::Core;

pub use attempt::Attempt;
pub use attempt::Phase;
pub use call_answer::CallAnswer;
pub use call_limit::CallLimit;
pub use daemon::run;
pub use event::EngineEvent;
pub use quarantine::Quarantine;
