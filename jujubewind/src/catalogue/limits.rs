//! What one catalogue entry may use.

use super::EngineSeconds;
use super::RequestRate;
use super::Requests;
use super::TokenRate;
use crate::types::Millis;
use crate::types::Tokens;

/// The longest prompt that a catalogue may allow.
pub const MAX_PROMPT: Tokens = Tokens(1 << 20);

/// The longest answer that a catalogue may allow.
pub const MAX_OUTPUT: Tokens = Tokens(1 << 17);

/// The longest time that a request may take: a night with its evening and morning.
pub const MAX_TIMEOUT: Millis = Millis(24 * 3_600 * 1_000);

/// The highest rate of requests that a catalogue may allow one entry.
pub const MAX_REQUEST_RATE: RequestRate = RequestRate(100_000);

/// The highest rate of tokens that a catalogue may allow one entry.
pub const MAX_TOKEN_RATE: TokenRate = TokenRate(100_000_000);

/// The most engine time that a catalogue may allow one entry in a day.
pub const MAX_ENGINE_SECONDS: EngineSeconds = EngineSeconds(1_000_000_000);

crate::data! {
    /// The limits of one catalogue entry; those on tokens and engine time apply to models only.
    #[serde(deny_unknown_fields)]
    pub struct Limits {
        /// Requests a second, sustained.
        pub request_rate: RequestRate,
        /// Requests that may come at once after a quiet time.
        pub request_burst: Requests,
        /// Requests under way at once.
        pub concurrency: Requests,
        /// Tokens a second, of prompts and answers together.
        #[serde(default)]
        pub token_rate: TokenRate,
        /// Engine time in a day.
        #[serde(default)]
        pub engine_seconds: EngineSeconds,
        /// The longest prompt.
        #[serde(default)]
        pub longest_prompt: Tokens,
        /// The longest answer.
        #[serde(default)]
        pub longest_output: Tokens,
        /// The time of a request that names none.
        pub default_timeout: Millis,
        /// The longest time that a request may name.
        pub longest_timeout: Millis,
    }
}
