//! The router's parameters.

use crate::types::Millis;
use crate::types::Tokens;

crate::data! {
    /// How many agents are asked, and what counts as an equal answer.
    pub struct Settings {
        /// Agents asked for a short prompt.
        pub asks: usize,
        /// Agents asked for a long prompt, which can pay for more.
        pub longs: usize,
        /// The length below which a prompt stays in its failure domain.
        pub short: Tokens,
        /// The length from which a prompt is long.
        pub long: Tokens,
        /// What crossing to another failure domain must gain.
        pub penalty: Millis,
        /// Answers this close to the best are equal, and chance decides.
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
