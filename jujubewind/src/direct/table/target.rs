//! A service with its share of a route's requests.

use super::ServiceId;

crate::data! {
    /// A service that receives a share of a route's requests.
    pub struct Target {
        /// The service.
        pub service: ServiceId,
        /// Its share, relative to the other targets' weights.
        pub weight: u32,
    }
}
