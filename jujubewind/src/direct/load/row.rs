//! One entry's aggregate load on one backend server.

use super::Assignment;
use crate::direct::ServerId;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

crate::data! {
    /// One entry's load on one backend server, as sent to peers.
    pub struct Row {
        /// The backend server.
        pub server: ServerId,
        /// Prefill work that remains.
        pub read: Work,
        /// The time until that work should be done.
        pub until: Millis,
        /// Requests of which the server is the primary, so that it decodes or will decode there.
        pub leads: u32,
        /// Memory that its requests occupy.
        pub memory: Tokens,
        /// The strictest `max_gap` of these requests.
        pub pause: Option<Millis>,
        /// The total value of these requests.
        pub value: u64,
    }
}

impl Row {
    /// Aggregates the assignments to one server.
    #[must_use]
    pub fn of(server: ServerId, now: MonoTime, assignments: &[Assignment]) -> Self {
        let remaining = || {
            assignments
                .iter()
                .map(|assignment| assignment.remaining(now))
        };
        let last = assignments
            .iter()
            .filter(|assignment| assignment.prefill > Work::ZERO);
        let last = last
            .map(|assignment| assignment.prefill_due)
            .max()
            .unwrap_or(now);
        let primary = || {
            assignments
                .iter()
                .filter(|assignment| assignment.is_primary)
        };
        Self {
            server,
            read: remaining().sum(),
            until: last.since(now),
            leads: u32::try_from(primary().count()).unwrap_or(u32::MAX),
            memory: assignments.iter().map(|assignment| assignment.memory).sum(),
            pause: primary().filter_map(|assignment| assignment.max_gap).min(),
            value: primary().map(|assignment| assignment.value).sum(),
        }
    }

    /// The prefill work that remains `after` the row was received.
    #[must_use]
    pub fn remaining(&self, after: Millis) -> Work {
        self.read
            .min(Work::from_millis(self.until.saturating_sub(after)))
    }
}
