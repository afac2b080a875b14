//! The outcome of one request.

use jujubewind::refusal::Reason;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;

/// The outcome of one request; times are those at which the client receives the event.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When the first token arrived.
    pub first_token: Option<MonoTime>,
    /// When the complete answer had arrived.
    pub finished: Option<MonoTime>,
    /// When and why the request was refused.
    pub refused: Option<(MonoTime, Reason)>,
    /// Prompt tokens found in the engine's cache.
    pub cached: Tokens,
    /// The number of attempts started at agents.
    pub attempts: u32,
    /// The number of engines that shared the request.
    pub parts: u64,
}

impl Outcome {
    /// Returns whether the request was answered or refused.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.finished.is_some() || self.refused.is_some()
    }
}
