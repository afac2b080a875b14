//! What the choice of a backend server depends on.

use crate::types::Class;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::Tokens;

/// The shape of a request as the router sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The organisation that pays.
    pub org: &'a OrgId,
    /// The model or service asked for.
    pub model: &'a ModelId,
    /// The class of work.
    pub class: Class,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// Engines needed at once; more than one for a group.
    pub parts: usize,
    /// Hashes of the prompt's leading blocks.
    pub blocks: &'a [u64],
}
