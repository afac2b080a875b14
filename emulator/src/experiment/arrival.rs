//! A generated request.

use std::sync::Arc;

use jujubewind::types::Class;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;

/// A generated request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the client sends it.
    pub at: MonoTime,
    /// The entry that receives it.
    pub entry: usize,
    /// The organisation.
    pub org: OrgId,
    /// The class.
    pub class: Class,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The length of the complete answer.
    pub answer: Tokens,
    /// The maximum length of the answer.
    pub output: Tokens,
    /// The client's timeout.
    pub timeout: Millis,
    /// The prompt's block hashes.
    pub blocks: Arc<[u64]>,
}
