//! The properties of a request that routing depends on.

use crate::types::Class;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::Tokens;

/// A request as seen by the router.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The organisation that pays.
    pub org: &'a OrgId,
    /// The model or service asked for.
    pub model: &'a ModelId,
    /// The latency class.
    pub class: Class,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The number of engines needed at once; more than one for a group.
    pub parts: usize,
    /// Hashes of the prompt's leading blocks.
    pub blocks: &'a [u64],
}
