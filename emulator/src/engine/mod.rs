//! The stand-in for a model engine: batches continuously, caches prefixes, exports KV caches.

pub mod core;
mod pump;
mod refusal;
mod server;
mod state;
mod streams;
mod switch;

pub use server::serve;
pub use state::EngineOptions;
pub use switch::Crash;
