//! An organisation, which owns API keys.

use super::OrgName;
use crate::types::RegionId;

crate::data! {
    /// An organisation and its priority.
    pub struct Organisation {
        /// Its name.
        pub name: OrgName,
        /// Overrides the route's priority; 0 is the highest.
        pub priority: Option<u8>,
        /// The regions whose backend servers may run its requests; any if it is empty.
        pub regions: Vec<RegionId>,
    }
}
