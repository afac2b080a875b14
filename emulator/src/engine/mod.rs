//! An emulated inference engine with continuous batching, a prefix cache and KV cache export.

pub mod core;
mod error_reply;
mod server;
mod state;
mod step_loop;
mod streams;
mod switch;

pub use server::serve;
pub use state::EngineOptions;
pub use switch::Crash;
