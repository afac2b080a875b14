//! Platform emulator: a key-value service and a VM list that can lag behind.
//!
//! The key-value service implements a subset of the etcd v3 JSON gateway and keeps all data in
//! memory.

mod error;
mod faults;
mod key_range;
mod lease;
mod rate_limiter;
mod server;
mod store;
mod txn;
mod vm_log;
mod watch;

pub use error::Error;
pub use error::Result;
pub use faults::PlatformFaults;
pub use rate_limiter::RateLimiter;
pub use server::PlatformOptions;
pub use server::serve;
pub use store::Store;
pub use vm_log::VmLog;
