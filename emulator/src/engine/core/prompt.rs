//! The properties of a prompt that the engine uses, computed once.

use std::sync::Arc;

use jujubewind::prefix::block_hashes;
use jujubewind::prefix::count_tokens;
use jujubewind::types::Tokens;
use rapidhash::v3::rapidhash_v3;

/// A prompt with this text crashes the engine that computes it.
pub const POISON: &str = "<<crash-engine>>";

/// The shortest answer.
const MIN_ANSWER_TOKENS: u64 = 64;
/// The number of different answer lengths.
const ANSWER_LENGTHS: u64 = 1_024;

/// A prompt without its text; cheap to clone.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The hash of the whole text, from which the answer is derived.
    pub hash: u64,
    /// The length of the prompt.
    pub tokens: Tokens,
    /// The chained hashes of the complete blocks.
    pub blocks: Arc<[u64]>,
    /// The length of the complete answer.
    pub answer_tokens: u64,
    /// Whether computing it crashes the engine.
    pub poison: bool,
}

impl Prompt {
    /// Computes the properties of the prompt `text`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let hash = rapidhash_v3(text.as_bytes());
        Self {
            hash,
            tokens: count_tokens(text),
            blocks: block_hashes(text).into(),
            answer_tokens: MIN_ANSWER_TOKENS + hash % ANSWER_LENGTHS,
            poison: text.contains(POISON),
        }
    }

    /// Creates a prompt without text, for simulations.
    #[must_use]
    pub fn synthetic(hash: u64, tokens: Tokens, blocks: Arc<[u64]>, answer_tokens: u64) -> Self {
        Self {
            hash,
            tokens,
            blocks,
            answer_tokens,
            poison: false,
        }
    }
}
