//! What can go wrong between an agent and its backend server.

use hyper::StatusCode;

/// A failed exchange with a backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No whole answer came.
    #[error("the backend server does not answer: {0}; check that it runs at the address set")]
    Http(#[from] cyper::Error),
    /// It answered with an error.
    #[error("the backend server answered {0}; see its own log")]
    Status(StatusCode),
}

/// A result of an exchange with a backend server.
pub type Result<T> = std::result::Result<T, Error>;
