//! The stored account of the credit drawn in one interval.

use std::collections::VecDeque;

use crate::types::ChangeId;
use crate::types::Credit;

/// Number of recent changes that an account lists, to resolve writes whose answer was lost.
const MAX_RECENT_CHANGES: u64 = 16;

crate::data! {
    /// The value of an account's key.
    #[derive(Default)]
    pub struct Account {
        /// Credit drawn and not returned.
        pub drawn: Credit,
        /// Total number of changes.
        pub count: u64,
        /// The most recent changes.
        pub recent: VecDeque<ChangeId>,
    }
}

/// Whether an account contains a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It was applied.
    Applied,
    /// It was not applied.
    NotApplied,
    /// Unknown, as more changes followed than the account lists.
    Unknown,
}

impl Account {
    /// Parses the value of an account's key; `None` if it is not an account.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Serializes the account for the store.
    ///
    /// # Panics
    /// Never panics: an account has only text, numbers and lists.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an account is plain data")
    }

    /// Returns the account after `change` set the drawn credit to `drawn`.
    #[must_use]
    pub fn after(&self, change: ChangeId, drawn: Credit) -> Self {
        let mut recent = self.recent.clone();
        recent.push_back(change);
        if recent.len() as u64 > MAX_RECENT_CHANGES {
            recent.pop_front();
        }
        Self {
            drawn,
            count: self.count + 1,
            recent,
        }
    }

    /// Returns whether `change`, requested when the account had `count` changes, was applied.
    #[must_use]
    pub fn change_status(&self, change: ChangeId, count: u64) -> ChangeStatus {
        if self.recent.contains(&change) {
            return ChangeStatus::Applied;
        }
        if self.count.saturating_sub(count) > MAX_RECENT_CHANGES {
            return ChangeStatus::Unknown;
        }
        ChangeStatus::NotApplied
    }
}
