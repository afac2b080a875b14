//! The predicted latency of one job.

use crate::types::Millis;
use crate::types::Tokens;

crate::data! {
    /// Predicted times of a job's first and last token.
    pub struct Estimate {
        /// Time to the first token.
        pub first: Millis,
        /// Time to the last token.
        pub total: Millis,
        /// How much of the prompt is cached.
        pub cached: Tokens,
    }
}
