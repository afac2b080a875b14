//! The descriptors that a process may open.

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

use crate::http::ConnectionLimits;
use crate::types::Bytes;

/// Descriptors for listeners, timers and the store.
const OWN_DESCRIPTORS: u64 = 64;
/// The descriptors of a process whose limit is not known.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// What connections may take: `memory`, and half of the descriptors that the process may open, as a
/// request needs another one.
#[must_use]
pub fn connection_limits(memory: Bytes) -> ConnectionLimits {
    let descriptors = getrlimit(Resource::RLIMIT_NOFILE);
    let descriptors = descriptors.map_or(DEFAULT_DESCRIPTORS, |(soft, _)| soft);
    ConnectionLimits {
        memory,
        descriptors: descriptors.saturating_sub(OWN_DESCRIPTORS) / 2,
    }
}
