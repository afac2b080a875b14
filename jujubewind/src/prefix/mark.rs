//! Marks: a sample of a prompt's block hashes that stands for all of them.

use super::BLOCK;
use crate::types::Tokens;

/// Leading blocks that are all sampled, before the distance between marks grows.
const DENSE_BLOCKS: usize = 16;
/// After them, the distance to the next mark grows by one block for every this many blocks.
const SPREAD_DIVISOR: usize = 4;

/// The hashes of the sampled blocks: about forty at most for a million tokens, so that a quote
/// stays small. Hashes are chained, so a cache with a sampled block held all blocks before it.
#[must_use]
pub fn marks(blocks: &[u64]) -> Vec<u64> {
    positions()
        .map_while(|position| blocks.get(position).copied())
        .collect()
}

/// The cached length of a prompt with these marks, where `has` tells whether a hash is cached. It
/// is accurate to within a quarter and never too large.
pub fn cached_length(marks: &[u64], has: impl Fn(u64) -> bool) -> Tokens {
    let held = positions().zip(marks).take_while(|(_, mark)| has(**mark));
    held.last()
        .map_or(Tokens::ZERO, |(position, _)| end(position))
}

/// The positions of the sampled blocks; they are the same for every prompt and need not be sent.
fn positions() -> impl Iterator<Item = usize> {
    let next = |position: &usize| {
        Some(position + 1 + position.saturating_sub(DENSE_BLOCKS) / SPREAD_DIVISOR)
    };
    std::iter::successors(Some(0), next)
}

/// The end of the block at `position` in the prompt.
fn end(position: usize) -> Tokens {
    Tokens((position as u64 + 1) * BLOCK.get())
}
