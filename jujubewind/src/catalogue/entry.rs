//! One line of the catalogue: an owner, a class of work, a target and limits.

use serde_norway::with::singleton_map;

use super::KeyHash;
use super::Limits;
use super::Service;
use super::Target;
use crate::types::Class;
use crate::types::EntryId;
use crate::types::OrgId;

crate::data! {
    /// Work that an organisation owns, and the limits within which it runs.
    #[serde(deny_unknown_fields)]
    pub struct Entry {
        /// The entry's name, unique in the catalogue.
        pub id: EntryId,
        /// The organisation that answers for the work.
        pub owner: OrgId,
        /// How soon its requests must be served.
        pub class: Class,
        /// The models or the service.
        #[serde(with = "singleton_map")]
        pub target: Target,
        /// What it may use.
        pub limits: Limits,
        /// Digests of the owner's caller keys; each key opens all entries of its owner.
        #[serde(default)]
        pub keys: Vec<KeyHash>,
    }
}

impl Entry {
    /// The plain service, if the entry gives access to one.
    #[must_use]
    pub fn service(&self) -> Option<&Service> {
        match &self.target {
            Target::Models(_) => None,
            Target::Service(service) => Some(service),
        }
    }
}
