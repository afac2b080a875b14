//! The total load on one backend server.

use super::Row;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::Tokens;

/// The estimated load of one backend server from all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Prefill work ahead of a new prompt.
    pub backlog: Work,
    /// Requests of which it is the primary server.
    pub requests: u32,
    /// Occupied memory.
    pub memory: Tokens,
    /// The strictest `max_gap` of these requests.
    pub max_gap: Option<Millis>,
    /// The total value of these requests.
    pub value: u64,
}

impl ServerLoad {
    /// Adds a row of which `remaining` prefill work is left.
    pub(super) fn add(&mut self, row: &Row, remaining: Work) {
        self.backlog = self.backlog.saturating_add(remaining);
        self.requests += row.leads;
        self.memory = self.memory.saturating_add(row.memory);
        self.max_gap = match (self.max_gap, row.pause) {
            (Some(ours), Some(theirs)) => Some(ours.min(theirs)),
            (ours, theirs) => ours.or(theirs),
        };
        self.value = self.value.saturating_add(row.value);
    }
}
