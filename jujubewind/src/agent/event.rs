//! Events that the engine reports for an attempt.

use crate::rpc::message::Finish;
use crate::types::Incarnation;
use crate::types::Tokens;

/// An event of one attempt at the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One output token.
    Token {
        /// Its offset in the output.
        offset: Tokens,
        /// Its text.
        text: String,
    },
    /// The output is complete.
    End {
        /// Why it ended.
        finish: Finish,
        /// The number of output tokens, including those before the attempt's offset.
        count: Tokens,
    },
    /// The KV cache was exported and its memory is free.
    Paused {
        /// The engine's handle of the export.
        handle: String,
    },
    /// The engine has cancelled the sequence on request.
    Stopped,
    /// The engine aborted the attempt.
    Failed {
        /// The engine's current incarnation; `None` if it does not answer.
        incarnation: Option<Incarnation>,
    },
    /// The engine refused a request for the attempt.
    Refused,
}
