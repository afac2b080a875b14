//! A catalogue entry: an owner, a request class, a target and limits.

use serde_norway::with::singleton_map;

use super::KeyHash;
use super::Limits;
use super::Service;
use super::Target;
use crate::types::Class;
use crate::types::EntryId;
use crate::types::OrgId;

crate::data! {
    /// An organisation's access to models or a service, and the limits that apply to it.
    #[serde(deny_unknown_fields)]
    pub struct Entry {
        /// The entry's name, unique in the catalogue.
        pub id: EntryId,
        /// The organisation that the entry belongs to.
        pub owner: OrgId,
        /// The latency class of its requests.
        pub class: Class,
        /// The models or the service that it gives access to.
        #[serde(with = "singleton_map")]
        pub target: Target,
        /// The limits on its requests.
        pub limits: Limits,
        /// Digests of the owner's API keys; each key gives access to all entries of its owner.
        #[serde(default)]
        pub keys: Vec<KeyHash>,
    }
}

impl Entry {
    /// The plain service that the entry gives access to, if it is not for models.
    #[must_use]
    pub fn service(&self) -> Option<&Service> {
        match &self.target {
            Target::Models(_) => None,
            Target::Service(service) => Some(service),
        }
    }
}
