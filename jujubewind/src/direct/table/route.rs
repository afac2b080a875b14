//! A route: which requests it matches, where they go and whether they may be repeated.

use super::RouteId;
use super::RouteKind;
use super::ServiceId;
use super::Target;
use crate::types::Millis;
use crate::types::RegionId;

crate::data! {
    /// One route of one host.
    pub struct Route {
        /// Its name.
        pub name: RouteId,
        /// The host that it matches.
        pub host: String,
        /// The path prefix that it matches; it starts and ends with a slash.
        pub prefix: String,
        /// Whether its requests may be repeated.
        pub kind: RouteKind,
        /// The longest time until the complete response.
        pub timeout: Millis,
        /// The target for the time to the response, or to a stream's first event.
        pub latency_target: Millis,
        /// The target for the longest gap between two events.
        pub max_gap: Option<Millis>,
        /// How long callers wait for the next event before they disconnect.
        pub client_timeout: Millis,
        /// The most backend servers that may run one request.
        pub attempts: u32,
        /// The priority of its requests; 0 is the highest.
        pub priority: u8,
        /// Whether requests need no API key.
        pub public: bool,
        /// Whether a stream may be resumed at another backend server.
        pub resumable: bool,
        /// The regions whose backend servers may run its requests; any if it is empty.
        pub regions: Vec<RegionId>,
        /// The services that share its requests.
        pub targets: Vec<Target>,
    }
}

impl Route {
    /// The route of requests that match a route which cannot be read: no service may run them.
    #[must_use]
    pub fn unreadable(name: RouteId, host: String, prefix: String) -> Self {
        Self {
            name,
            host,
            prefix,
            kind: RouteKind::Once,
            timeout: Millis::ZERO,
            latency_target: Millis::ZERO,
            max_gap: None,
            client_timeout: Millis::ZERO,
            attempts: 1,
            priority: 0,
            public: false,
            resumable: false,
            regions: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Whether a request of this route may run more than once.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for a request with the random number `draw`, in proportion to the weights.
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
