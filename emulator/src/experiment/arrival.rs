//! One request as it reaches an entry.

use std::sync::Arc;

use jujubewind::types::Class;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;

/// A request of the generated traffic.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the client sends it.
    pub at: MonoTime,
    /// The entry that gets it.
    pub entry: usize,
    /// The organisation.
    pub org: OrgId,
    /// The class of work.
    pub class: Class,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The length at which the answer ends.
    pub answer: Tokens,
    /// The longest answer allowed.
    pub output: Tokens,
    /// The time the client allows.
    pub allowed: Millis,
    /// The prompt's block hashes.
    pub blocks: Arc<[u64]>,
}
