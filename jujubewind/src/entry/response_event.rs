//! Events of a response, sent to the task that writes it to the caller's connection.

use crate::entry::Failure;
use crate::rpc::message::Finish;
use crate::types::Tokens;

/// Tokens of the response, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEvent {
    /// The next tokens.
    Tokens(Vec<String>),
    /// The response is complete and has this many tokens.
    End(Finish, Tokens),
    /// The request failed; no event follows.
    Failed(Failure),
}
