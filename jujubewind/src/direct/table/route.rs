//! A route: which requests it takes, where they go and how they may be repeated.

use super::RouteId;
use super::RouteKind;
use super::ServiceId;
use super::Target;
use crate::types::Millis;

crate::data! {
    /// One route of one host.
    pub struct Route {
        /// Its name.
        pub name: RouteId,
        /// The host whose requests it takes.
        pub host: String,
        /// The path's beginning; it starts and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub kind: RouteKind,
        /// The longest time until the final answer.
        pub timeout: Millis,
        /// The time to the answer, or to a stream's first event, that callers aim for.
        pub latency_target: Millis,
        /// The longest pause between two events that callers aim for.
        pub max_gap: Option<Millis>,
        /// How long callers wait for the next event before they leave.
        pub client_timeout: Millis,
        /// The most backend servers that may run one request.
        pub attempts: u32,
        /// 0 is the highest.
        pub priority: u8,
        /// Whether requests need no key.
        pub public: bool,
        /// Whether a stream may go on at another backend server.
        pub resumable: bool,
        /// The services that take its requests.
        pub targets: Vec<Target>,
    }
}

impl Route {
    /// Whether a request of this route may run more than once.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service that takes the request for which `draw` was drawn.
    #[must_use]
    pub fn target(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut point = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}
