//! The unit in which a catalogue is stored and sent: all entries of one organisation.

use super::ContentHash;
use super::Entry;
use crate::types::OrgId;

crate::data! {
    /// The entries of one organisation.
    #[serde(deny_unknown_fields)]
    pub struct Part {
        /// The organisation.
        pub owner: OrgId,
        /// Its entries, ordered by name.
        pub entries: Vec<Entry>,
    }
}

impl Part {
    /// Makes the part of `owner`; the order of `entries` does not matter.
    #[must_use]
    pub fn new(owner: OrgId, mut entries: Vec<Entry>) -> Self {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        Self { owner, entries }
    }

    /// The text that is stored; equal parts have equal texts.
    ///
    /// # Panics
    /// Never: a part holds nothing that JSON could not express.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a part has a JSON form")
    }

    /// Reads a stored text; `None` if it is no part.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The address of the part.
    #[must_use]
    pub fn hash(&self) -> ContentHash {
        ContentHash::of(&self.encode())
    }
}
