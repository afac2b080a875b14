//! Resource usage of a request.

use crate::types::Tokens;

/// The usage of an admitted request that is charged against its limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Whether an agent accepted it, or may have.
    pub started: bool,
    /// The number of tokens in its answer.
    pub output: Tokens,
}
