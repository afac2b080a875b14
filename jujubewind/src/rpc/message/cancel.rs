//! Cancelling an attempt.

use super::Envelope;
use crate::types::Millis;

crate::data! {
    /// Asks an agent to fence an attempt.
    pub struct Cancel {
        /// Sender, attempt and remaining time.
        pub envelope: Envelope,
        /// Time since the attempt was first sent; an agent that started later does not know it.
        pub age: Millis,
    }
}

crate::label! {
    /// The state of the attempt; after any of these answers it never starts.
    pub enum CancelReply {
        /// It never reached the backend server.
        NotRun = "not_run",
        /// It reached the backend server and was stopped, or had already ended.
        Ran = "ran",
        /// The agent has restarted since the attempt was sent, so it does not know.
        Unknown = "unknown",
    }
}
