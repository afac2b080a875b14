//! What the engine tells while it runs.

use super::Error;
use super::SeqKey;

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The answer came to its end.
    Stop,
    /// The asked length was reached.
    Length,
    /// The sequence was cancelled.
    Cancelled,
}

impl Finish {
    /// The text that goes over the wire.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Tokens that a sequence took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens generated here.
    pub completion: u64,
    /// Tokens of the prompt found in the prefix cache.
    pub cached: u64,
}

/// One event of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// A token was generated.
    Token {
        /// The sequence.
        key: SeqKey,
        /// The token's place in the answer.
        offset: u64,
    },
    /// The sequence has ended.
    Finished {
        /// The sequence.
        key: SeqKey,
        /// Why.
        reason: Finish,
        /// Tokens taken.
        usage: Usage,
    },
    /// The sequence was lost.
    Failed {
        /// The sequence.
        key: SeqKey,
        /// Why.
        error: Error,
    },
}
