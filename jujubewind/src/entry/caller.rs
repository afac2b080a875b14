//! What a caller's connection is told of its request.

use crate::entry::Failure;
use crate::rpc::message::Finish;
use crate::types::Tokens;

/// One piece of the answer, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The next tokens.
    Tokens(Vec<String>),
    /// The answer is whole and has this many tokens.
    End(Finish, Tokens),
    /// The request failed; nothing follows.
    Failed(Failure),
}
