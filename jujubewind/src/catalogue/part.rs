//! Parts: the unit of catalogue storage and transfer, one per organisation.

use super::ContentHash;
use super::Entry;
use crate::types::OrgId;

crate::data! {
    /// All entries of one organisation.
    #[serde(deny_unknown_fields)]
    pub struct Part {
        /// The organisation.
        pub owner: OrgId,
        /// Its entries, ordered by name.
        pub entries: Vec<Entry>,
    }
}

impl Part {
    /// Creates the part of `owner`; `entries` may be in any order.
    #[must_use]
    pub fn new(owner: OrgId, mut entries: Vec<Entry>) -> Self {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        Self { owner, entries }
    }

    /// Encodes the part for storage; equal parts have equal encodings.
    ///
    /// # Panics
    /// Never: every value of a part can be represented in JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a part has a JSON form")
    }

    /// Decodes a stored part; `None` if the text is invalid.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The content address of the part.
    #[must_use]
    pub fn hash(&self) -> ContentHash {
        ContentHash::of(&self.encode())
    }
}
