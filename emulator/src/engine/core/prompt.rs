//! What the engine needs to know of a prompt, worked out once.

use std::sync::Arc;

use jujubewind::prefix::block_hashes;
use jujubewind::prefix::count_tokens;
use jujubewind::types::Tokens;
use rapidhash::v3::rapidhash_v3;

/// A prompt that contains this text crashes the engine that computes it.
pub const POISON: &str = "<<crash-engine>>";

/// Tokens that every answer has at the least.
const MIN_ANSWER: u64 = 64;
/// Lengths of answers differ by less than this.
const ANSWER_SPREAD: u64 = 1_024;

/// A prompt without its text; cheap to copy.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The hash of the whole text, from which the answer follows.
    pub hash: u64,
    /// The prompt's length.
    pub tokens: Tokens,
    /// The chained hash of each whole block.
    pub blocks: Arc<[u64]>,
    /// The length at which the answer ends by itself.
    pub answer_tokens: u64,
    /// Whether computing it crashes the engine.
    pub poison: bool,
}

impl Prompt {
    /// Reads the prompt `text`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let hash = rapidhash_v3(text.as_bytes());
        Self {
            hash,
            tokens: count_tokens(text),
            blocks: block_hashes(text).into(),
            answer_tokens: MIN_ANSWER + hash % ANSWER_SPREAD,
            poison: text.contains(POISON),
        }
    }

    /// Makes a prompt that has no text, for runs in virtual time.
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
