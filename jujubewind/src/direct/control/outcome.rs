//! The outcome of a request at a backend server.

crate::label! {
    /// How a request ended at a backend server, as far as it affects the server's health.
    pub enum Outcome {
        /// It answered successfully.
        Served = "served",
        /// Its response ended with the connection soon after it had begun, so it may have been cut off.
        Ended = "ended",
        /// It reported that it did not run the request.
        Refused = "refused",
        /// No connection could be opened.
        Unreachable = "unreachable",
        /// It answered with a server error or a malformed response.
        Faulty = "faulty",
        /// It sent bytes that are no response, or more of them than a response may have.
        Malformed = "malformed",
        /// It sent nothing until the timeout.
        Silent = "silent",
        /// The connection was lost while it ran the request.
        Broken = "broken",
        /// The caller disconnected or the deadline passed, which says nothing about the server.
        Abandoned = "abandoned",
    }
}
