//! A catalogue as the texts under which it is stored and sent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::Catalogue;
use super::ContentHash;
use super::Page;

/// The texts of all pages and parts, by their addresses.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// The address of each page, by the page's number.
    pub pages: BTreeMap<u8, ContentHash>,
    /// Every page and part.
    pub texts: HashMap<ContentHash, Arc<str>>,
}

impl Tree {
    /// The texts of `catalogue`.
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
