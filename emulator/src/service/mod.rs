//! Plain service emulator that counts executions by idempotency key.

mod faults;
mod server;

pub use faults::ServiceFaults;
pub use server::serve;
