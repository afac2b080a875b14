//! Errors of the store client.

/// A failure to set up the client or to read from the platform's service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP client cannot be set up, or a call failed.
    #[error("the platform's service cannot be reached: {0}; check its address in the settings")]
    Http(#[from] cyper::Error),
    /// The response is malformed.
    #[error("the platform's service sent a malformed response: {0}; check its version")]
    Form(#[from] serde_json::Error),
    /// The call timed out.
    #[error("the platform's service did not answer in time; retry later")]
    TimedOut,
    /// The service returned an error status.
    #[error("the platform's service returned HTTP status {0}; see its log")]
    Status(u16),
}

/// Result of a call to the platform's service.
pub type Result<T> = std::result::Result<T, Error>;
