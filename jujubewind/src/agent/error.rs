//! Errors of the agent's requests to its backend server.

use hyper::StatusCode;

/// A failed request to a backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request failed or the response was incomplete.
    #[error("the backend server does not answer: {0}; check that it runs at the address set")]
    Http(#[from] cyper::Error),
    /// The response has an error status.
    #[error("the backend server answered {0}; see its own log")]
    Status(StatusCode),
}

/// The result of a request to a backend server.
pub type Result<T> = std::result::Result<T, Error>;
