//! What has been drawn in one interval, as the store holds it.

use std::collections::VecDeque;

use crate::types::ChangeId;
use crate::types::Credit;

/// How many of the last changes an account names, by which lost answers are settled.
const RECENT: u64 = 16;

crate::data! {
    /// The value of an account's key.
    #[derive(Default)]
    pub struct Account {
        /// Credit drawn and not returned.
        pub drawn: Credit,
        /// How many changes were made.
        pub count: u64,
        /// The last of them.
        pub recent: VecDeque<ChangeId>,
    }
}

/// What an account tells about a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was made.
    Made,
    /// It was not made.
    Missing,
    /// So many others were made since that it is no longer named, if it was made.
    Forgotten,
}

impl Account {
    /// Reads the value of an account's key; `None` if it is no account.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The value for the store.
    ///
    /// # Panics
    /// Never: an account has only text, numbers and lists.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an account is plain data")
    }

    /// The account after a change that leaves `drawn`.
    #[must_use]
    pub fn after(&self, change: ChangeId, drawn: Credit) -> Self {
        let mut recent = self.recent.clone();
        recent.push_back(change);
        if recent.len() as u64 > RECENT {
            recent.pop_front();
        }
        Self {
            drawn,
            count: self.count + 1,
            recent,
        }
    }

    /// Whether `change` was made, which was asked for when the account had had `count` changes.
    #[must_use]
    pub fn tells(&self, change: ChangeId, count: u64) -> Change {
        if self.recent.contains(&change) {
            return Change::Made;
        }
        if self.count.saturating_sub(count) > RECENT {
            return Change::Forgotten;
        }
        Change::Missing
    }
}
