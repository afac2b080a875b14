//! What a request used.

use crate::types::Tokens;

/// What became of an admitted request, for the limits that it counts against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Whether an agent took it, or may have.
    pub started: bool,
    /// The tokens of its answer.
    pub output: Tokens,
}
