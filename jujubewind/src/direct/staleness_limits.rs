//! How stale the table may become while the store cannot be reached.

use crate::types::Millis;

/// Limits on the time since the table was last confirmed to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StalenessLimits {
    /// The age from which requests that need an API key are refused.
    pub keys: Millis,
    /// The age from which the process reports that it is not ready.
    pub ready: Millis,
}
