//! All entries' requests at one backend server.

use super::Row;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::Tokens;

/// The load of one backend server as this entry believes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// What is still to be read before something new is.
    pub backlog: Work,
    /// Requests that write there, or will.
    pub leads: u32,
    /// Memory that is taken.
    pub memory: Tokens,
    /// The shortest pause that one of them bears.
    pub max_gap: Option<Millis>,
    /// What they are worth together.
    pub value: u64,
}

impl ServerLoad {
    /// Adds a row of which `unread` is still to be read.
    pub(super) fn add(&mut self, row: &Row, unread: Work) {
        self.backlog = self.backlog.saturating_add(unread);
        self.leads += row.leads;
        self.memory = self.memory.saturating_add(row.memory);
        self.max_gap = match (self.max_gap, row.pause) {
            (Some(ours), Some(theirs)) => Some(ours.min(theirs)),
            (ours, theirs) => ours.or(theirs),
        };
        self.value = self.value.saturating_add(row.value);
    }
}
