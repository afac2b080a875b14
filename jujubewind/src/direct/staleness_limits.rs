//! For how long the key table is trusted without word of a newer one.

use crate::types::Millis;

/// For how long a proof of the key table is trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StalenessLimits {
    /// The age from which requests with a key are refused.
    pub keys: Millis,
    /// The age from which the process is not ready.
    pub ready: Millis,
}
