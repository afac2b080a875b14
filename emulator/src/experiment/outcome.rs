//! What became of one request.

use jujubewind::refusal::Reason;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;

/// Times are those at which the client sees something.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The first token.
    pub first_token: Option<MonoTime>,
    /// The end of the whole answer.
    pub finished: Option<MonoTime>,
    /// The refusal that the client got.
    pub refused: Option<(MonoTime, Reason)>,
    /// Prompt tokens found in the engine's cache.
    pub cached: Tokens,
    /// Starts at agents.
    pub attempts: u32,
    /// Engines that held the prompt.
    pub parts: u64,
}

impl Outcome {
    /// Whether the client has its last word.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.finished.is_some() || self.refused.is_some()
    }
}
