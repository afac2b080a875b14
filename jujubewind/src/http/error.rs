//! Errors of reading a request.

use crate::types::Bytes;
use crate::types::Millis;

/// An error of reading a request's body.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than allowed.
    #[error("the body is longer than {0}; send a shorter one")]
    TooLarge(Bytes),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0}; send it faster")]
    TooSlow(Millis),
    /// The process holds too much for other callers.
    #[error("there is no room for the body; send it later")]
    NoRoom,
    /// The connection failed before the body was complete.
    #[error("the body was interrupted: {0}; send the request again")]
    Interrupted(hyper::Error),
}

/// The result of reading a request.
pub type Result<T> = std::result::Result<T, Error>;
