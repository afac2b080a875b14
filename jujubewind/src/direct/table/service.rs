//! A service as configured by the operators.

use super::ServiceId;
use crate::direct::Engine;
use crate::types::Millis;
use crate::types::RequestRate;

crate::data! {
    /// What a cold backend server endures.
    #[derive(Copy)]
    pub struct ColdLimit {
        /// How long it is cold after its start.
        pub span: Millis,
        /// The requests a second that it endures from all entries together.
        pub rate: RequestRate,
    }
}

crate::data! {
    /// A service and the properties of its backend servers.
    pub struct Service {
        /// Its name.
        pub name: ServiceId,
        /// The most connections that one of its backend servers accepts from all entries together.
        pub connections: u32,
        /// What its backend servers endure while they are cold; `None` if there is no such limit.
        pub cold: Option<ColdLimit>,
        /// The cost model of its engines; `None` for a plain service.
        pub engine: Option<Engine>,
    }
}
