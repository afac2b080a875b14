//! Result of one request.

use jujubewind::types::Tokens;

/// Result of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Length of the prompt.
    pub length: Tokens,
    /// Microseconds to the first token, if any.
    pub first_token: Option<u64>,
    /// Microseconds to the end of the response.
    pub total: u64,
    /// Failure, unless the answer is complete and correct.
    pub failure: Option<Failure>,
}

/// Reason why there is no complete and correct answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The entry refused or failed the request with this kind of error.
    Refused(String),
    /// The connection failed before a response began.
    Connection,
    /// The stream broke or ended without its final event.
    Broken,
    /// The answer differs from the expected one for the prompt.
    Wrong,
}

impl Failure {
    /// Name of the failure in the report.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match self {
            Self::Refused(kind) => kind,
            Self::Connection => "no_connection",
            Self::Broken => "broken_stream",
            Self::Wrong => "wrong_answer",
        }
    }
}
