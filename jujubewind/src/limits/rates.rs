//! The limits of one catalogue entry at one process.

use super::bucket::DEFAULT_TOLERANCE;
use super::bucket::Micros;

crate::data! {
    /// Limits of one catalogue entry and its owner; `None` means no limit.
    ///
    /// The catalogue's limits apply to the whole fleet: each entry process enforces the part of
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
    /// The part of one of `processes` processes, rounded up so that no limit becomes zero. The
    /// parts together may exceed the whole by a little if there are more processes than units.
    #[must_use]
    pub fn split(&self, processes: u64) -> Self {
        let part = |limit: u64| limit.div_ceil(processes.max(1));
        Self {
            requests: self.requests.map(part),
            burst: self.burst.map(part),
            tokens: self.tokens.map(part),
            concurrency: self.concurrency.map(part),
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
