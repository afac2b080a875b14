//! Tracks whether a request ran, as far as its entry can know.

use crate::entry::Ran;
use crate::rpc::message::CancelReply;
use crate::types::AttemptId;

/// The attempts that may have run, each until an agent reports whether it did.
#[derive(Clone, Debug, Default)]
pub struct UncertainAttempts {
    open: Vec<AttemptId>,
    ran: bool,
}

impl UncertainAttempts {
    /// Whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match (self.ran, self.open.is_empty()) {
            (true, _) => Ran::Ran,
            (false, false) => Ran::Unknown,
            (false, true) => Ran::NotRun,
        }
    }

    /// Adds an attempt that may have run.
    pub fn insert(&mut self, attempt: AttemptId) {
        if !self.open.contains(&attempt) {
            self.open.push(attempt);
        }
    }

    /// Records that the request ran, at least in part.
    pub fn record_run(&mut self) {
        self.ran = true;
    }

    /// Removes an attempt that, according to its agent, never ran and never will.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.open.retain(|id| *id != attempt);
    }

    /// Applies an agent's reply to the cancellation of an attempt.
    pub fn apply(&mut self, attempt: AttemptId, reply: CancelReply) {
        match reply {
            CancelReply::NotRun => self.remove(attempt),
            CancelReply::Ran => self.record_run(),
            CancelReply::Unknown => {}
        }
    }
}
