//! Limits of a catalogue entry and their upper bounds.

use super::EngineSeconds;
use super::RequestRate;
use super::Requests;
use super::TokenRate;
use crate::types::Millis;
use crate::types::Tokens;

/// Upper bound of `longest_prompt`.
pub const MAX_PROMPT: Tokens = Tokens(1 << 20);

/// Upper bound of `longest_output`.
pub const MAX_OUTPUT: Tokens = Tokens(1 << 17);

/// Upper bound of request timeouts: one day, so that a batch request can run overnight.
pub const MAX_TIMEOUT: Millis = Millis(24 * 3_600 * 1_000);

/// Upper bound of `request_rate`, `request_burst` and `concurrency`.
pub const MAX_REQUEST_RATE: RequestRate = RequestRate(100_000);

/// Upper bound of `token_rate`.
pub const MAX_TOKEN_RATE: TokenRate = TokenRate(100_000_000);

/// Upper bound of `engine_seconds`.
pub const MAX_ENGINE_SECONDS: EngineSeconds = EngineSeconds(1_000_000_000);

crate::data! {
    /// The limits of a catalogue entry; limits on tokens and engine time apply to models only.
    #[serde(deny_unknown_fields)]
    pub struct Limits {
        /// Sustained request rate per second.
        pub request_rate: RequestRate,
        /// Maximum burst of requests after an idle period.
        pub request_burst: Requests,
        /// Maximum number of concurrent requests.
        pub concurrency: Requests,
        /// Prompt and output tokens per second.
        #[serde(default)]
        pub token_rate: TokenRate,
        /// Engine time per day.
        #[serde(default)]
        pub engine_seconds: EngineSeconds,
        /// Maximum prompt length.
        #[serde(default)]
        pub longest_prompt: Tokens,
        /// Maximum output length.
        #[serde(default)]
        pub longest_output: Tokens,
        /// Timeout of a request that specifies none.
        pub default_timeout: Millis,
        /// Maximum timeout that a request may specify.
        pub longest_timeout: Millis,
    }
}
