//! An engine that prefills a part of a prompt for the primary.

use std::rc::Rc;

use crate::direct::Server;
use crate::types::Tokens;

/// A helper and the memory reserved on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// The helping engine.
    pub server: Rc<Server>,
    /// The part of the prompt that it stores; zero if the primary stores all of it.
    pub memory: Tokens,
}
