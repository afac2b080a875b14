//! The one record that says which catalogue is in force.

use std::collections::BTreeMap;

use super::ContentHash;
use crate::types::ChangeId;
use crate::types::Revision;

crate::quantity! {
    /// Seconds since 1970, as the operator's VM told them; shown, never compared.
    pub struct UnixTime(u64), "s";
}

crate::data! {
    /// A revision of the catalogue, changed by compare-and-swap only.
    #[serde(deny_unknown_fields)]
    pub struct Head {
        /// One more than that of the head it replaced.
        pub revision: Revision,
        /// The change that made it, by which a lost answer is settled.
        pub change: ChangeId,
        /// Who made the change.
        pub author: String,
        /// When.
        pub time: UnixTime,
        /// The address of each page, by the page's number.
        pub pages: BTreeMap<u8, ContentHash>,
    }
}

impl Head {
    /// The text that is stored.
    ///
    /// # Panics
    /// Never: a head holds nothing that JSON could not express.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a head has a JSON form")
    }

    /// Reads a stored text; `None` if it is no head.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
