//! The changes in an answer.

use super::FeedChange;
use super::FeedPosition;

crate::data! {
    /// What an entry can tell about the time after a position.
    pub enum FeedContent {
        /// The changes up to a position; it may be before the one asked for if the answering entry
        /// is behind.
        Changes {
            /// The changes with their revisions, in order.
            changes: Vec<(u64, FeedChange)>,
            /// Up to where they go.
            to: FeedPosition,
            /// Whether there are more.
            more: bool,
        },
        /// It does not know what happened since; the asking entry has to read the store.
        Gap,
    }
}
