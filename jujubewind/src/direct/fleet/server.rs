//! A listed backend server.

use std::net::SocketAddr;

use super::ServerId;
use super::ServerState;
use crate::direct::ServiceId;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;

crate::data! {
    /// A backend server as the platform lists it.
    pub struct Server {
        /// Its identifier.
        pub id: ServerId,
        /// The service that it belongs to.
        pub service: ServiceId,
        /// Its listen address.
        pub addr: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// The number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts new requests.
        pub state: ServerState,
        /// Its incarnation; a restart under the same identifier has a higher one.
        pub started: Option<Incarnation>,
        /// How much longer it is cold, as it said itself.
        pub cold_left: Millis,
    }
}

impl Server {
    /// Whether this is the incarnation `other` or an earlier one of the same server, which has ended.
    #[must_use]
    pub fn is_up_to(&self, other: Option<Incarnation>) -> bool {
        self.started == other || (self.started.is_some() && self.started < other)
    }
}
