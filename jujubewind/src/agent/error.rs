//! Errors of the agent's requests to its backend server.

use hyper::StatusCode;

/// A failed request to a backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request failed or the response was incomplete.
    #[error("the backend server does not answer: {0}; check that it runs at the address set")]
    Http(#[from] cyper::Error),
    /// The response is longer than any that is passed on.
    #[error("the response is too long; see docs/SETTINGS.md")]
    TooLong,
    /// The process holds too much for others.
    #[error("there is no memory for it; see `max_memory` in docs/SETTINGS.md")]
    NoRoom,
    /// The request could not be encoded.
    #[error("the request cannot be encoded: {0}; report this as a defect")]
    Encoding(#[from] serde_json::Error),
    /// The response has an error status.
    #[error("the backend server answered {0}; see its own log")]
    Status(StatusCode),
}

/// The result of a request to a backend server.
pub type Result<T> = std::result::Result<T, Error>;
