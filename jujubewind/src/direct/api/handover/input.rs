//! What a hand-over is decided from.

use super::TakeoverFailure;

/// What happened to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Nothing arrived for as long as `Handover::wait` told.
    Elapsed,
    /// The backend server sent an event.
    Event {
        /// Whether it has an id, so that it can be told from the other one's events.
        numbered: bool,
    },
    /// The backend server completed the stream.
    Ended,
    /// The attempt at the backend server failed, for this cause.
    Broken(&'static str),
    /// The request may be sent to another backend server.
    RetryGranted,
    /// The request may not be sent again now.
    RetryDenied {
        /// Whether it never may, as no attempts are left.
        lasting: bool,
    },
    /// The head of the other backend server's response has arrived.
    OtherResponded,
    /// Another backend server has sent an event.
    OtherBegan,
    /// The other backend server will not respond.
    OtherFailed(TakeoverFailure),
    /// Another backend server's response failed before an event.
    OtherBroken,
}
