//! Why a request got no response.

use std::error::Error;
use std::io::ErrorKind;

/// An error of sending a request, by whether the request may have run.
#[derive(Debug, thiserror::Error)]
pub enum SendFault {
    /// No byte was sent, so the request has not run.
    #[error("no connection: {0}; another backend server may take it")]
    Unsent(String),
    /// The connection broke after sending began, so the request may have run.
    #[error("the connection broke: {0}; whether it ran is unknown")]
    Lost(hyper::Error),
}

impl SendFault {
    /// Whether the server sent bytes that are no response.
    #[must_use]
    pub fn is_malformed(&self) -> bool {
        let Self::Lost(error) = self else {
            return false;
        };
        let cause = error.source().and_then(|cause| cause.downcast_ref());
        let is_endless =
            cause.is_some_and(|cause: &std::io::Error| cause.kind() == ErrorKind::InvalidData);
        error.is_parse() || is_endless
    }
}
