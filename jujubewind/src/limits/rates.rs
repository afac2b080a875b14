//! The limits that hold for one catalogue entry at one process.

use super::bucket::Micros;
use super::bucket::WINDOW;

crate::data! {
    /// Limits of one catalogue entry and its owner; `None` means no limit.
    ///
    /// The catalogue's figures hold for the whole fleet: each entry process enforces its part of
    /// them, made by [`Rates::split`].
    #[derive(Default)]
    pub struct Rates {
        /// Requests a second.
        pub requests: Option<u64>,
        /// Requests that may come at once after a quiet time; `None` means a second's worth.
        pub burst: Option<u64>,
        /// Tokens a second, prompt and answer.
        pub tokens: Option<u64>,
        /// Requests of the owner at the same time.
        pub concurrency: Option<u64>,
        /// Whether engine time is drawn against credit.
        pub metered: bool,
    }
}

impl Rates {
    /// The part of one of `processes` processes; no limit falls to zero, so a little is allowed
    /// above the whole when there are more processes than units.
    #[must_use]
    pub fn split(&self, processes: u64) -> Self {
        let part = |whole: u64| whole.div_ceil(processes.max(1));
        Self {
            requests: self.requests.map(part),
            burst: self.burst.map(part),
            tokens: self.tokens.map(part),
            concurrency: self.concurrency.map(part),
            metered: self.metered,
        }
    }

    /// How far ahead of its rate the limit on requests may run.
    pub(super) fn ahead(&self) -> Micros {
        match (self.burst, self.requests) {
            (Some(burst), Some(rate)) => Micros::of_burst(burst, rate),
            _ => WINDOW,
        }
    }
}
