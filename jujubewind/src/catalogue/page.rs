//! A slice of the list of parts.

use std::collections::BTreeMap;

use super::ContentHash;
use crate::types::OrgId;

/// The number of pages; a change rewrites one of them and the head, never the whole list.
const PAGES: u8 = 64;

crate::data! {
    /// The addresses of the parts of some organisations.
    #[serde(transparent)]
    pub struct Page {
        /// The part of each organisation.
        pub parts: BTreeMap<OrgId, ContentHash>,
    }
}

impl Page {
    /// The number of the page on which `owner` stands.
    #[must_use]
    pub fn number(owner: &OrgId) -> u8 {
        ContentHash::of(owner.as_str()).first() % PAGES
    }

    /// The text that is stored.
    ///
    /// # Panics
    /// Never: a page holds nothing that JSON could not express.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a page has a JSON form")
    }

    /// Reads a stored text; `None` if it is no page.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
