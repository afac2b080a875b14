//! A revision of which some texts are still missing.

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

/// A head and the texts gathered for it; a text is known by its own digest only.
#[derive(Clone, Debug)]
pub struct Assembly {
    head: Head,
    texts: HashMap<ContentHash, Arc<str>>,
    fresh: Vec<ContentHash>,
}

impl Assembly {
    /// Begins with the texts of an older revision.
    #[must_use]
    pub fn new(head: Head, texts: HashMap<ContentHash, Arc<str>>) -> Self {
        Self {
            head,
            texts,
            fresh: Vec::new(),
        }
    }

    /// Aims at a newer head and keeps what was gathered.
    pub fn retarget(&mut self, head: Head) {
        self.head = head;
    }

    /// The head.
    #[must_use]
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The text of that address.
    #[must_use]
    pub fn text(&self, hash: ContentHash) -> Option<&Arc<str>> {
        self.texts.get(&hash)
    }

    /// All texts.
    #[must_use]
    pub fn texts(&self) -> &HashMap<ContentHash, Arc<str>> {
        &self.texts
    }

    /// The texts that came since the beginning and that this revision names.
    #[must_use]
    pub fn fresh(&self) -> Vec<String> {
        let texts = self.fresh.iter().filter_map(|hash| self.texts.get(hash));
        texts.map(ToString::to_string).collect()
    }

    /// Adds texts under the digests they turn out to have.
    pub fn add(&mut self, texts: Vec<String>) {
        for text in texts {
            let hash = ContentHash::of(&text);
            if self.texts.insert(hash, text.into()).is_none() {
                self.fresh.push(hash);
            }
        }
    }

    /// The addresses still missing: first of pages, then of the parts they name.
    #[must_use]
    pub fn missing(&self) -> Vec<ContentHash> {
        let lacks = |hash: &ContentHash| !self.texts.contains_key(hash);
        let pages: Vec<_> = self.head.pages.values().copied().filter(lacks).collect();
        if !pages.is_empty() {
            return pages;
        }
        self.parts().into_iter().filter(lacks).collect()
    }

    /// Drops the texts that this revision does not name.
    pub fn tidy(&mut self) {
        let mut named = self.parts();
        named.extend(self.head.pages.values());
        let named: HashSet<_> = named.into_iter().collect();
        self.texts.retain(|hash, _| named.contains(hash));
        self.fresh.retain(|hash| named.contains(hash));
    }

    /// The whole catalogue.
    ///
    /// # Errors
    /// A text is missing or is no part, or the parts break the rules together.
    pub fn finish(&self) -> Result<Catalogue> {
        let mut parts = Vec::new();
        for hash in self.parts() {
            let part = self.texts.get(&hash).and_then(|text| Part::decode(text));
            parts.push(Arc::new(part.ok_or_else(|| unreadable(hash))?));
        }
        Catalogue::from_parts(self.head.revision, parts)
    }

    fn parts(&self) -> Vec<ContentHash> {
        let pages = self.head.pages.values();
        let pages = pages.filter_map(|hash| Page::decode(self.texts.get(hash)?));
        pages.flat_map(|page| page.parts.into_values()).collect()
    }
}

fn unreadable(hash: ContentHash) -> Error {
    Error::Invalid(Faults(vec![Fault {
        file: format!("part {hash}"),
        line: None,
        key: String::new(),
        problem: Problem::Syntax("the stored text is no part".to_owned()),
    }]))
}
