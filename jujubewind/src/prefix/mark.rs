//! A few hashes that stand for all of a prompt's blocks.

use super::BLOCK;
use crate::types::Tokens;

/// Blocks marked one by one before the marks grow apart.
const DENSE: usize = 16;
/// The step from one mark to the next beyond them, as a share of the way so far.
const SPREAD: usize = 4;

/// The hashes of the marked blocks: at most some forty for a million tokens, so that a quote stays
/// small. Hashes are chained, so who has a marked block had all before it.
#[must_use]
pub fn marks(blocks: &[u64]) -> Vec<u64> {
    places()
        .map_while(|place| blocks.get(place).copied())
        .collect()
}

/// How much of a prompt with these marks is held where `has` tells of each hash; to within a
/// quarter of its length, and never too much.
pub fn cached_length(marks: &[u64], has: impl Fn(u64) -> bool) -> Tokens {
    let held = places().zip(marks).take_while(|(_, mark)| has(**mark));
    held.last().map_or(Tokens::ZERO, |(place, _)| end(place))
}

/// The places of the marked blocks, the same for every prompt, so that they need not be sent.
fn places() -> impl Iterator<Item = usize> {
    let next = |place: &usize| Some(place + 1 + place.saturating_sub(DENSE) / SPREAD);
    std::iter::successors(Some(0), next)
}

/// The end of the block at `place` in the prompt.
fn end(place: usize) -> Tokens {
    Tokens((place as u64 + 1) * BLOCK.get())
}
