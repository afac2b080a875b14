//! Hashes of a prompt's leading blocks, which identify cached prefixes.

mod mark;

pub use mark::cached_length;
pub use mark::marks;
use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use crate::types::Tokens;

/// Bytes of text per token, as engines and limits count them.
pub const BYTES_PER_TOKEN: u64 = 4;

/// The block size of the prefix cache.
pub const BLOCK: Tokens = Tokens(512);

/// The length of `text`, rounded up to whole tokens.
#[must_use]
pub fn count_tokens(text: &str) -> Tokens {
    Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

/// The chained hash of each full block: equal hashes mean an equal prefix up to that block.
#[must_use]
pub fn block_hashes(text: &str) -> Vec<u64> {
    let size = usize::try_from(BLOCK.get() * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let mut before = 0;
    text.as_bytes()
        .chunks_exact(size)
        .map(|block| {
            before = chain(before, block);
            before
        })
        .collect()
}

fn chain(before: u64, block: &[u8]) -> u64 {
    rapidhash_v3_seeded(block, &RapidSecrets::seed_cpp(before))
}
