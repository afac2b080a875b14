//! What the engine tells its agent about an attempt.

use crate::rpc::message::Finish;
use crate::types::Incarnation;
use crate::types::Tokens;

/// News of one attempt from the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token of the answer.
    Token {
        /// Its place in the answer.
        offset: Tokens,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    End {
        /// Why it ended.
        finish: Finish,
        /// How many tokens it has, those before the attempt's offset included.
        count: Tokens,
    },
    /// The KV cache was exported and its memory is free.
    Paused {
        /// The engine's name of the export.
        handle: String,
    },
    /// The engine has stopped the sequence, as asked.
    Stopped,
    /// The engine broke off.
    Failed {
        /// The start number under which it answers now; `None` if it does not answer.
        life: Option<Incarnation>,
    },
    /// The engine refused an order for the attempt.
    Refused,
}
