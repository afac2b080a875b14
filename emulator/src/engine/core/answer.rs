//! Answers derived from the hash of the prompt, so that a resumed answer continues identically.

use rapidhash::v3::rapidhash_v3;

use super::Prompt;

const CONSONANTS: &[u8; 16] = b"bdfghjklmnprstvz";
const VOWELS: &[u8; 4] = b"aeio";

/// Bytes of text per token, including the trailing space.
pub const TOKEN_BYTES: usize = 7;

/// Appends the text of token `index` of the answer to the prompt with hash `prompt`.
pub fn push_token(text: &mut String, prompt: u64, index: u64) {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&prompt.to_le_bytes());
    bytes[8..].copy_from_slice(&index.to_le_bytes());
    let mut bits = rapidhash_v3(&bytes);
    for _ in 0..TOKEN_BYTES / 2 {
        text.push(char::from(CONSONANTS[low_bits(bits, 16)]));
        text.push(char::from(VOWELS[low_bits(bits >> 4, 4)]));
        bits >>= 6;
    }
    text.push(' ');
}

/// Returns the tokens in `offset..offset + count` of the answer to the prompt with hash `prompt`.
#[must_use]
pub fn tokens(prompt: u64, offset: u64, count: u64) -> String {
    let mut text = String::new();
    for index in offset..offset.saturating_add(count) {
        push_token(&mut text, prompt, index);
    }
    text
}

/// Returns the complete answer to `prompt`, truncated to `max_tokens`.
#[must_use]
pub fn expected(prompt: &str, max_tokens: u64) -> String {
    let prompt = Prompt::parse(prompt);
    tokens(prompt.hash, 0, prompt.answer_tokens.min(max_tokens))
}

fn low_bits(bits: u64, base: u64) -> usize {
    usize::try_from(bits % base).unwrap_or(0)
}
