//! What of a version could not be read.

use std::collections::BTreeMap;

use super::TablePart;

/// The most descriptions that are kept.
const MAX_NOTES: usize = 8;

/// The unreadable items of each part, and descriptions of the first ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unread {
    counts: BTreeMap<TablePart, usize>,
    notes: Vec<String>,
}

impl Unread {
    /// Adds an item; `note` names the field and what is wrong with it.
    pub fn add(&mut self, part: TablePart, note: String) {
        *self.counts.entry(part).or_default() += 1;
        if self.notes.len() < MAX_NOTES {
            self.notes.push(note);
        }
    }

    /// The number of unreadable items of a part.
    #[must_use]
    pub fn count(&self, part: TablePart) -> usize {
        self.counts.get(&part).copied().unwrap_or(0)
    }

    /// The number of unreadable items.
    #[must_use]
    pub fn total(&self) -> usize {
        self.counts.values().sum()
    }

    /// Descriptions of the first items.
    #[must_use]
    pub fn notes(&self) -> &[String] {
        &self.notes
    }
}
