//! Difference between two catalogues.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use super::Catalogue;
use super::Difference;
use super::DifferenceKind;
use super::Entry;
use crate::types::EntryId;

crate::data! {
    /// The entries that differ, ordered by name.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Diff {
        /// The entries.
        pub entries: Vec<Difference>,
    }
}

impl Diff {
    /// Computes the changes that turn `before` into `after`.
    #[must_use]
    pub fn between(before: &Catalogue, after: &Catalogue) -> Self {
        let (old, new) = (by_name(before), by_name(after));
        let mut entries = Vec::new();
        for (id, entry) in &new {
            match old.get(id) {
                None => entries.push(Difference::whole(entry, DifferenceKind::Added)),
                Some(previous) => entries.extend(Difference::between(previous, entry)),
            }
        }
        let removed = old.iter().filter(|(id, _)| !new.contains_key(*id));
        entries.extend(removed.map(|(_, entry)| Difference::whole(entry, DifferenceKind::Removed)));
        entries.sort_by(|a, b| a.entry.cmp(&b.entry));
        Self { entries }
    }

    /// Whether the catalogues have the same entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Display for Diff {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for difference in &self.entries {
            writeln!(f, "{difference}")?;
        }
        Ok(())
    }
}

fn by_name(catalogue: &Catalogue) -> BTreeMap<&EntryId, &Entry> {
    let entries = catalogue.entries();
    entries.map(|entry| (&entry.id, entry)).collect()
}
