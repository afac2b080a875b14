//! An organisation, which owns API keys.

use crate::types::OrgId;

crate::data! {
    /// An organisation and its priority.
    pub struct Organisation {
        /// Its name.
        pub name: OrgId,
        /// Overrides the route's priority; 0 is the highest.
        pub priority: Option<u8>,
    }
}
