//! A prediction for one job.

use crate::types::Millis;
use crate::types::Tokens;

crate::data! {
    /// When a job would get its tokens.
    pub struct Estimate {
        /// Time to the first token.
        pub first: Millis,
        /// Time to the last token.
        pub total: Millis,
        /// How much of the prompt is cached.
        pub cached: Tokens,
    }
}
