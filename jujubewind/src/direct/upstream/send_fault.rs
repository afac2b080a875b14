//! Why a request got no response.

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
        matches!(self, Self::Lost(error) if error.is_parse())
    }
}
