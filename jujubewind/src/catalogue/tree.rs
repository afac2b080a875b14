//! A catalogue encoded as content-addressed pages and parts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::Catalogue;
use super::ContentHash;
use super::Page;

/// A hash tree of a catalogue: pages point to parts by content address.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// Content address of each page by page number.
    pub pages: BTreeMap<u8, ContentHash>,
    /// Encoded pages and parts by content address.
    pub texts: HashMap<ContentHash, Arc<str>>,
}

impl Tree {
    /// Encodes `catalogue`.
    #[must_use]
    pub fn of(catalogue: &Catalogue) -> Self {
        let mut tree = Self::default();
        let mut pages: BTreeMap<u8, Page> = BTreeMap::new();
        for part in catalogue.parts() {
            let hash = tree.insert(part.encode());
            let page = pages.entry(Page::number(&part.owner)).or_insert(Page {
                parts: BTreeMap::new(),
            });
            page.parts.insert(part.owner.clone(), hash);
        }
        for (number, page) in pages {
            let hash = tree.insert(page.encode());
            tree.pages.insert(number, hash);
        }
        tree
    }

    fn insert(&mut self, text: String) -> ContentHash {
        let hash = ContentHash::of(&text);
        self.texts.insert(hash, text.into());
        hash
    }
}
