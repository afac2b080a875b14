//! A catalogue revision that is being downloaded.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::catalogue::Catalogue;
use crate::catalogue::ContentHash;
use crate::catalogue::Error;
use crate::catalogue::Fault;
use crate::catalogue::Faults;
use crate::catalogue::Head;
use crate::catalogue::Page;
use crate::catalogue::Part;
use crate::catalogue::Problem;
use crate::catalogue::Result;

/// A head and the texts received for it; each text is stored under its content address.
#[derive(Clone, Debug)]
pub struct Assembly {
    head: Head,
    texts: HashMap<ContentHash, Arc<str>>,
    received: Vec<ContentHash>,
}

impl Assembly {
    /// Creates an assembly for `head` that reuses the texts of an older revision.
    #[must_use]
    pub fn new(head: Head, texts: HashMap<ContentHash, Arc<str>>) -> Self {
        Self {
            head,
            texts,
            received: Vec::new(),
        }
    }

    /// Switches to a newer head and keeps the texts received so far.
    pub fn retarget(&mut self, head: Head) {
        self.head = head;
    }

    /// The head.
    #[must_use]
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The text with the content address `hash`.
    #[must_use]
    pub fn text(&self, hash: ContentHash) -> Option<&Arc<str>> {
        self.texts.get(&hash)
    }

    /// All texts by content address.
    #[must_use]
    pub fn texts(&self) -> &HashMap<ContentHash, Arc<str>> {
        &self.texts
    }

    /// The texts received since creation that are still present.
    #[must_use]
    pub fn received(&self) -> Vec<String> {
        let texts = self.received.iter().filter_map(|hash| self.texts.get(hash));
        texts.map(ToString::to_string).collect()
    }

    /// Adds texts under the content addresses computed from them, so that a corrupt text is never
    /// used.
    pub fn add(&mut self, texts: Vec<String>) {
        for text in texts {
            let hash = ContentHash::of(&text);
            if self.texts.insert(hash, text.into()).is_none() {
                self.received.push(hash);
            }
        }
    }

    /// The content addresses still missing: of pages first, then of the parts that they list.
    #[must_use]
    pub fn missing(&self) -> Vec<ContentHash> {
        let is_missing = |hash: &ContentHash| !self.texts.contains_key(hash);
        let pages: Vec<_> = self
            .head
            .pages
            .values()
            .copied()
            .filter(is_missing)
            .collect();
        if !pages.is_empty() {
            return pages;
        }
        self.parts().into_iter().filter(is_missing).collect()
    }

    /// Drops the texts that this revision does not reference.
    pub fn prune(&mut self) {
        let mut referenced = self.parts();
        referenced.extend(self.head.pages.values());
        let referenced: HashSet<_> = referenced.into_iter().collect();
        self.texts.retain(|hash, _| referenced.contains(hash));
        self.received.retain(|hash| referenced.contains(hash));
    }

    /// Builds the catalogue from the texts.
    ///
    /// # Errors
    /// Fails if a part is missing or malformed, or if the catalogue is invalid.
    pub fn finish(&self) -> Result<Catalogue> {
        let mut parts = Vec::new();
        for hash in self.parts() {
            let part = self.texts.get(&hash).and_then(|text| Part::decode(text));
            parts.push(Arc::new(part.ok_or_else(|| invalid_part(hash))?));
        }
        Catalogue::from_parts(self.head.revision, parts)
    }

    /// The content addresses of the parts that the pages received so far list.
    fn parts(&self) -> Vec<ContentHash> {
        let pages = self.head.pages.values();
        let pages = pages.filter_map(|hash| Page::decode(self.texts.get(hash)?));
        pages.flat_map(|page| page.parts.into_values()).collect()
    }
}

fn invalid_part(hash: ContentHash) -> Error {
    Error::Invalid(Faults(vec![Fault {
        file: format!("part {hash}"),
        line: None,
        key: String::new(),
        problem: Problem::Syntax("the stored text is not a valid part".to_owned()),
    }]))
}
