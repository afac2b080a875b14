//! The parameters of the retry budget.

use crate::types::Millis;

crate::data! {
    /// How much retries may add to the load.
    pub struct Settings {
        /// Retries for each thousand requests.
        pub share: u64,
        /// The most retries saved up.
        pub burst: u64,
        /// Attempts of one request, the first included.
        pub attempts: u32,
        /// One retry is granted in this time whatever the load, so that quiet entries can retry.
        pub trickle: Millis,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 100,
            burst: 10,
            attempts: 3,
            trickle: Millis(1_000),
        }
    }
}
