//! How one request ended.

use jujubewind::types::Tokens;

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The prompt's length.
    pub length: Tokens,
    /// Microseconds to the first token, if one came.
    pub first_token: Option<u64>,
    /// Microseconds to the end.
    pub total: u64,
    /// Why there is no whole and right answer, if there is none.
    pub failure: Option<Failure>,
}

/// Why there is no whole and right answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The entry refused or failed with this kind of error.
    Refused(String),
    /// The connection could not be made, or broke before an answer began.
    Connection,
    /// The stream broke or ended without its last line.
    Broken,
    /// The answer is not the one that follows from the prompt.
    Wrong,
}

impl Failure {
    /// The text in the report.
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
