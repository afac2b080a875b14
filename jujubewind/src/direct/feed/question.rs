//! A question for changes.

use super::FeedPosition;

crate::data! {
    /// Asks an entry for what has changed in the store.
    pub struct FeedQuestion {
        /// Identifies the question among those of the asking process.
        pub number: u64,
        /// The position that the asking entry has reached.
        pub since: FeedPosition,
    }
}
