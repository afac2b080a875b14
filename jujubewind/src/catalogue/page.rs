//! Pages: shards of the index from organisations to their parts.

use std::collections::BTreeMap;

use super::ContentHash;
use crate::types::OrgId;

/// Number of pages. A change of one organisation rewrites one page and the head, not all pages.
const PAGE_COUNT: u8 = 64;

crate::data! {
    /// Content addresses of the parts of some organisations.
    #[serde(transparent)]
    pub struct Page {
        /// Content address of the part of each organisation.
        pub parts: BTreeMap<OrgId, ContentHash>,
    }
}

impl Page {
    /// The number of the page that lists `owner`.
    #[must_use]
    pub fn number(owner: &OrgId) -> u8 {
        ContentHash::of(owner.as_str()).first() % PAGE_COUNT
    }

    /// Encodes the page for storage.
    ///
    /// # Panics
    /// Never: every value of a page can be represented in JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a page has a JSON form")
    }

    /// Decodes a stored page; `None` if the text is invalid.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
