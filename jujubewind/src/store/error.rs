//! What can go wrong with the platform's service.

/// A failure to set up or to read from the platform's service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP client cannot be set up, or a call failed.
    #[error("the platform's service cannot be reached: {0}; check its address in the settings")]
    Http(#[from] cyper::Error),
    /// The answer has another form.
    #[error("the platform's service answers in another form: {0}; check its version")]
    Form(#[from] serde_json::Error),
    /// No answer came in time.
    #[error("the platform's service did not answer in time; ask again later")]
    TimedOut,
    /// The service refused.
    #[error("the platform's service answers with status {0}; see its log")]
    Status(u16),
}

/// A result of talking to the platform's service.
pub type Result<T> = std::result::Result<T, Error>;
