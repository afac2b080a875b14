//! The limits of one catalogue entry at one process.

use super::bucket::DEFAULT_TOLERANCE;
use super::bucket::Micros;

crate::data! {
    /// Limits of one catalogue entry and its owner; `None` means no limit.
    ///
    /// The catalogue's limits apply to the whole fleet: each entry process enforces the share of
    /// them that [`Rates::split`] returns.
    #[derive(Default)]
    pub struct Rates {
        /// Requests per second.
        pub requests: Option<u64>,
        /// Requests that may arrive at once after an idle time; `None` means one second's worth.
        pub burst: Option<u64>,
        /// Tokens per second, prompt and answer.
        pub tokens: Option<u64>,
        /// Concurrent requests of the owner.
        pub concurrency: Option<u64>,
        /// Whether engine time is charged to credit.
        pub metered: bool,
    }
}

impl Rates {
    /// Returns the share of one process if `processes` divide the limits equally. Shares are
    /// rounded up so that none becomes zero; their sum may therefore exceed the limit a little.
    #[must_use]
    pub fn split(&self, processes: u64) -> Self {
        let share = |limit: u64| limit.div_ceil(processes.max(1));
        Self {
            requests: self.requests.map(share),
            burst: self.burst.map(share),
            tokens: self.tokens.map(share),
            concurrency: self.concurrency.map(share),
            metered: self.metered,
        }
    }

    /// The burst tolerance of the request rate.
    pub(super) fn tolerance(&self) -> Micros {
        match (self.burst, self.requests) {
            (Some(burst), Some(rate)) => Micros::for_burst(burst, rate),
            _ => DEFAULT_TOLERANCE,
        }
    }
}
