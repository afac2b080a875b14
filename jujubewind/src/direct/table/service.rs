//! A service as configured by the operators.

use super::ServiceId;
use crate::direct::Engine;

crate::data! {
    /// A service and the properties of its backend servers.
    pub struct Service {
        /// Its name.
        pub name: ServiceId,
        /// The most connections that one of its backend servers accepts from all entries together.
        pub connections: u32,
        /// The cost model of its engines; `None` for a plain service.
        pub engine: Option<Engine>,
    }
}
