//! The parameters of the retry budget.

use crate::types::Millis;

crate::data! {
    /// Limits on the load that retries add.
    pub struct Settings {
        /// Retries for each thousand requests.
        pub per_thousand: u64,
        /// Maximum number of retries that the budget accumulates.
        pub burst: u64,
        /// Maximum number of attempts of one request, including the first.
        pub max_attempts: u32,
        /// Time in which one retry is granted whatever the load, so that idle entries can retry.
        pub refill_period: Millis,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            burst: 10,
            max_attempts: 3,
            refill_period: Millis(1_000),
        }
    }
}
