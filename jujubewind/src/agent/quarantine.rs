//! Quarantine of attempts that must run alone on the engine.

use std::collections::VecDeque;

use crate::types::AttemptId;

/// The most attempts in quarantine.
const MAX_WAITING: usize = 16;

/// Attempts that run alone, one after another; while there are any, no other work is accepted.
#[derive(Debug, Default)]
pub struct Quarantine {
    queue: VecDeque<AttemptId>,
    /// Whether the first attempt of the queue is running.
    is_running: bool,
}

impl Quarantine {
    /// Whether other work may be accepted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether no further attempt may be queued.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.queue.len() >= MAX_WAITING
    }

    /// Whether this attempt is in quarantine.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.queue.contains(&attempt)
    }

    /// The attempts that have not been started.
    #[must_use]
    pub fn waiting(&self) -> Vec<AttemptId> {
        let skip = usize::from(self.is_running);
        self.queue.iter().skip(skip).copied().collect()
    }

    /// The attempt to start next, if none is running.
    #[must_use]
    pub fn next(&self) -> Option<AttemptId> {
        let next = self.queue.front().copied();
        next.filter(|_| !self.is_running)
    }

    /// Queues an attempt.
    pub fn push(&mut self, attempt: AttemptId) {
        self.queue.push_back(attempt);
    }

    /// Marks the first attempt as running.
    pub fn start_next(&mut self) {
        self.is_running = true;
    }

    /// Removes the attempts that are not open.
    pub fn retain(&mut self, open: impl Fn(AttemptId) -> bool) {
        let first = self.queue.front().copied();
        self.queue.retain(|attempt| open(*attempt));
        self.is_running &= first.is_some() && self.queue.front().copied() == first;
    }
}
