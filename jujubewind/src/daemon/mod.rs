//! What all daemons share: options, settings, logging, signals and the runtime.

mod descriptors;
mod launch;
mod listen;
mod options;
mod signals;

use std::time::SystemTime;

pub use descriptors::connection_limits;
pub use launch::launch;
pub use listen::listen;
pub use options::Options;
pub use signals::StopSignalGuard;
pub use signals::block_reload_signal;
pub use signals::stop_signal;

use crate::types::Incarnation;

/// Returns the incarnation of this process: wall-clock milliseconds, so that it grows on restart.
#[must_use]
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    Incarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}
