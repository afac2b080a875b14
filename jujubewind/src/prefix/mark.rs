//! A few marks that stand for all of a prompt's blocks.

use super::BLOCK;
use crate::types::Tokens;

/// Blocks marked one by one before the marks grow apart.
const DENSE: usize = 16;
/// The step from one mark to the next beyond them, as a share of the way so far.
const SPREAD: usize = 4;

crate::data! {
    /// The chained hash of a prompt's blocks up to `end`; who has this one had all before it.
    pub struct Mark {
        /// The end of the block in the prompt.
        pub end: Tokens,
        /// The chained hash.
        pub hash: u64,
    }
}

/// Marks that tell a cached prefix to within a quarter of its length: at most some forty for a
/// million tokens, so that a quote stays small.
#[must_use]
pub fn marks(blocks: &[u64]) -> Vec<Mark> {
    let mut marks = Vec::new();
    let mut index = 0;
    while let Some(hash) = blocks.get(index) {
        marks.push(Mark {
            end: Tokens((index as u64 + 1) * BLOCK.get()),
            hash: *hash,
        });
        index += 1 + index.saturating_sub(DENSE) / SPREAD;
    }
    marks
}
