//! The stand-in for the platform: a key-value service and a lagging list of VMs.
//!
//! The key-value service speaks a part of the JSON gateway of etcd's version 3 and keeps
//! everything in memory.

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
