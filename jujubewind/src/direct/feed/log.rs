//! The changes that an entry has applied.

use std::collections::VecDeque;

use super::FeedChange;
use super::FeedContent;
use super::FeedPosition;
use super::limits::CHANGES_PER_ANSWER;
use super::limits::MAX_LOGGED_CHANGES;
use crate::types::Revision;

/// The latest changes of one era, by revision.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    /// The position after which all changes are known.
    start: Option<FeedPosition>,
    /// The position that has been reached.
    reached: FeedPosition,
    changes: VecDeque<(u64, FeedChange)>,
}

impl FeedLog {
    /// Starts anew after everything was read at `position`.
    pub fn restart(&mut self, position: FeedPosition) {
        *self = Self {
            start: Some(position),
            reached: position,
            changes: VecDeque::new(),
        };
    }

    /// Adds a change at a revision.
    pub fn push(&mut self, revision: u64, change: FeedChange) {
        self.changes.push_back((revision, change));
        while self.changes.len() > MAX_LOGGED_CHANGES {
            let Some((revision, _)) = self.changes.pop_front() else {
                return;
            };
            if let Some(start) = &mut self.start {
                start.revision = start.revision.max(revision);
            }
        }
    }

    /// Adds the changes that led to `position`, of which the single revisions are not known, and the
    /// version of the configuration there. Starts anew if they do not fit into one answer.
    pub fn resume(&mut self, position: FeedPosition, changes: Vec<FeedChange>, version: Revision) {
        if changes.len() >= CHANGES_PER_ANSWER || self.reached.era != position.era {
            self.restart(position);
            return;
        }
        for change in changes {
            self.push(position.revision, change);
        }
        self.push(position.revision, FeedChange::Configured(version));
        self.reach(position.revision);
    }

    /// Records that all changes up to a revision have been added.
    pub fn reach(&mut self, revision: u64) {
        self.reached.revision = self.reached.revision.max(revision);
    }

    /// The position that has been reached.
    #[must_use]
    pub const fn reached(&self) -> FeedPosition {
        self.reached
    }

    /// The changes after `since`. Changes of one revision are never separated.
    #[must_use]
    pub fn content(&self, since: FeedPosition) -> FeedContent {
        let is_known = |start: FeedPosition| start.revision <= since.revision;
        let same_era = self.reached.era == since.era;
        if !same_era || !self.start.is_some_and(is_known) {
            return FeedContent::Gap;
        }
        let later = || {
            self.changes
                .iter()
                .filter(|(revision, _)| *revision > since.revision)
        };
        let cut = later().nth(CHANGES_PER_ANSWER - 1);
        let last = cut.map_or(self.reached.revision, |(revision, _)| *revision);
        let told = later().take_while(|(revision, _)| *revision <= last);
        FeedContent::Changes {
            changes: told.cloned().collect(),
            to: FeedPosition {
                era: self.reached.era,
                revision: last,
            },
            more: last < self.reached.revision,
        }
    }
}
