//! An owner of keys.

use crate::types::OrgId;

crate::data! {
    /// An organisation and its rank.
    pub struct Organisation {
        /// Its name.
        pub name: OrgId,
        /// Takes precedence over the route's rank; 0 is the highest.
        pub priority: Option<u8>,
    }
}
