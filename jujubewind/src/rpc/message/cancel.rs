//! Ending an attempt.

use super::Envelope;
use crate::types::Millis;

crate::data! {
    /// Asks an agent to fence an attempt.
    pub struct Cancel {
        /// Sender, attempt and time left.
        pub envelope: Envelope,
        /// How long ago the attempt was first sent: an agent that started later cannot know of it.
        pub age: Millis,
    }
}

crate::label! {
    /// What became of the attempt; after any answer it never starts.
    pub enum CancelReply {
        /// It never reached the backend server.
        NotRun = "not_run",
        /// It reached the backend server, and was stopped or had ended.
        Ran = "ran",
        /// The agent restarted since the attempt was made, so it cannot tell.
        Unknown = "unknown",
    }
}
