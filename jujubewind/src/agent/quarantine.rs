//! Attempts that must run alone on the engine.

use std::collections::VecDeque;

use crate::types::AttemptId;

/// The attempts that may wait for their turn alone.
const MAX_WAITING: usize = 16;

/// Attempts that run alone, one after another; while there are any, nothing else is taken.
#[derive(Debug, Default)]
pub struct Quarantine {
    queue: VecDeque<AttemptId>,
    begun: bool,
}

impl Quarantine {
    /// Whether other work may be taken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether no further attempt may wait.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.queue.len() >= MAX_WAITING
    }

    /// Whether this attempt runs alone, now or later.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.queue.contains(&attempt)
    }

    /// The attempts whose turn has not come.
    #[must_use]
    pub fn waiting(&self) -> Vec<AttemptId> {
        let skip = usize::from(self.begun);
        self.queue.iter().skip(skip).copied().collect()
    }

    /// The attempt whose turn is next, if none has its turn now.
    #[must_use]
    pub fn next(&self) -> Option<AttemptId> {
        let next = self.queue.front().copied();
        next.filter(|_| !self.begun)
    }

    /// Queues an attempt.
    pub fn push(&mut self, attempt: AttemptId) {
        self.queue.push_back(attempt);
    }

    /// Gives the next attempt its turn.
    pub fn begin(&mut self) {
        self.begun = true;
    }

    /// Drops the attempts that are over.
    pub fn retain(&mut self, open: impl Fn(AttemptId) -> bool) {
        let first = self.queue.front().copied();
        self.queue.retain(|attempt| open(*attempt));
        self.begun &= first.is_some() && self.queue.front().copied() == first;
    }
}
