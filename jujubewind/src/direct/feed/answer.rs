//! An answer to a question for changes.

use super::FeedContent;
use crate::types::Millis;
use crate::types::Revision;

crate::data! {
    /// What an entry knows of the store.
    pub struct FeedAnswer {
        /// The question that it answers.
        pub number: u64,
        /// How long before this answer it was last confirmed that `version` is the newest. The
        /// receiver counts it from its own question, so that it can only seem longer.
        pub age: Option<Millis>,
        /// The newest version of the configuration.
        pub version: Revision,
        /// For how long backend servers that are missing from the list are still kept, after an
        /// outage of the store.
        pub grace: Millis,
        /// The changes.
        pub content: FeedContent,
    }
}
