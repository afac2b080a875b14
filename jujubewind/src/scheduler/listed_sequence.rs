//! What an engine lists of itself.

use crate::types::AttemptId;
use crate::types::Tokens;

crate::data! {
    /// One attempt that the engine holds.
    pub struct ListedSequence {
        /// The attempt.
        pub attempt: AttemptId,
        /// Its KV cache.
        pub held: Tokens,
    }
}
