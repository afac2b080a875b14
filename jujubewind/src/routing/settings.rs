//! The router's parameters.

use crate::types::Millis;
use crate::types::Tokens;

crate::data! {
    /// The number of agents asked, prompt length thresholds and tie breaking.
    pub struct Settings {
        /// Number of agents asked, unless the prompt is long.
        pub asks: usize,
        /// Number of agents asked for a long prompt, where the cost of asking more is small.
        pub longs: usize,
        /// Prompts shorter than this stay in the entry's failure domain, whoever owns their prefix.
        pub short: Tokens,
        /// Prompts of at least this length are long.
        pub long: Tokens,
        /// Penalty added to estimates of agents in other failure domains.
        pub penalty: Millis,
        /// Estimates this close to the best count as ties, which are broken at random.
        pub tie: Millis,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            asks: 3,
            longs: 5,
            short: Tokens(10_000),
            long: Tokens(32_768),
            penalty: Millis(10),
            tie: Millis(2),
        }
    }
}
