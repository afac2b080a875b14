//! One entry of an engine's list of sequences.

use crate::types::AttemptId;
use crate::types::Tokens;

crate::data! {
    /// A sequence that the engine holds.
    pub struct ListedSequence {
        /// The attempt.
        pub attempt: AttemptId,
        /// The KV cache that it uses.
        pub held: Tokens,
    }
}
