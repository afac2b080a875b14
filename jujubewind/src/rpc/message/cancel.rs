//! Ending an attempt.

use super::Envelope;

crate::data! {
    /// Asks an agent to fence an attempt.
    pub struct Cancel {
        /// Sender, attempt and time left.
        pub envelope: Envelope,
    }
}

crate::label! {
    /// What became of the attempt; after any answer it never starts.
    pub enum CancelReply {
        /// It never reached the backend server.
        NotRun = "not_run",
        /// It reached the backend server, and was stopped or had ended.
        Ran = "ran",
    }
}
