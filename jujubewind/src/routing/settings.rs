//! The router's parameters.

use crate::types::Millis;
use crate::types::Tokens;

crate::data! {
    /// The number of agents asked, prompt length thresholds and tie breaking.
    pub struct Settings {
        /// Number of agents asked, unless the prompt is long.
        pub sample_size: usize,
        /// Number of agents asked for a long prompt, where the cost of asking more is small.
        pub long_sample_size: usize,
        /// Prompts shorter than this stay in the entry's failure domain, whoever owns their prefix.
        pub short_prompt: Tokens,
        /// Prompts of at least this length are long.
        pub long_prompt: Tokens,
        /// Penalty added to estimates of agents in other failure domains.
        pub domain_penalty: Millis,
        /// Estimates this close to the best count as ties, which are broken at random.
        pub tie_margin: Millis,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sample_size: 3,
            long_sample_size: 5,
            short_prompt: Tokens(10_000),
            long_prompt: Tokens(32_768),
            domain_penalty: Millis(10),
            tie_margin: Millis(2),
        }
    }
}
