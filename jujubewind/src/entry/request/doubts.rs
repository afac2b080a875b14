//! Whether a request ran, as far as its entry can know.

use crate::entry::Ran;
use crate::rpc::message::CancelReply;
use crate::types::AttemptId;

/// The attempts that may have run, until an agent settles each.
#[derive(Clone, Debug, Default)]
pub struct Doubts {
    open: Vec<AttemptId>,
    ran: bool,
}

impl Doubts {
    /// What can be said of the request.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match (self.ran, self.open.is_empty()) {
            (true, _) => Ran::Ran,
            (false, false) => Ran::Unknown,
            (false, true) => Ran::NotRun,
        }
    }

    /// Notes that `attempt` may have run.
    pub fn raise(&mut self, attempt: AttemptId) {
        if !self.open.contains(&attempt) {
            self.open.push(attempt);
        }
    }

    /// Notes that the request ran, at least in part.
    pub fn confirm(&mut self) {
        self.ran = true;
    }

    /// Notes that an agent says `attempt` never ran and never will.
    pub fn clear(&mut self, attempt: AttemptId) {
        self.open.retain(|id| *id != attempt);
    }

    /// Takes an agent's answer about an attempt that was given up.
    pub fn settle(&mut self, attempt: AttemptId, reply: CancelReply) {
        match reply {
            CancelReply::NotRun => self.clear(attempt),
            CancelReply::Ran => self.confirm(),
            CancelReply::Unknown => {}
        }
    }
}
