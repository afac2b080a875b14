//! The stand-in for a plain service: counts each execution by idempotency key.

mod faults;
mod server;

pub use faults::ServiceFaults;
pub use server::serve;
