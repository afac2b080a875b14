//! One entry's requests at one backend server, summed up.

use super::Assignment;
use crate::direct::ServerId;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

crate::data! {
    /// What one entry has at one backend server, as it tells its peers.
    pub struct Row {
        /// The backend server.
        pub server: ServerId,
        /// What is still to be read.
        pub read: Work,
        /// The time until that should be read.
        pub until: Millis,
        /// Requests that write there, or will.
        pub leads: u32,
        /// Memory that they hold.
        pub memory: Tokens,
        /// The shortest pause that one of them bears.
        pub pause: Option<Millis>,
        /// What they are worth together.
        pub value: u64,
    }
}

impl Row {
    /// Sums up the assignments at one server.
    #[must_use]
    pub fn of(server: ServerId, now: MonoTime, assignments: &[Assignment]) -> Self {
        let unread = || assignments.iter().map(|assignment| assignment.unread(now));
        let last = assignments
            .iter()
            .filter(|assignment| assignment.read > Work::ZERO);
        let last = last.map(|assignment| assignment.until).max().unwrap_or(now);
        let leads = || assignments.iter().filter(|assignment| assignment.leads);
        Self {
            server,
            read: unread().sum(),
            until: last.since(now),
            leads: u32::try_from(leads().count()).unwrap_or(u32::MAX),
            memory: assignments.iter().map(|assignment| assignment.memory).sum(),
            pause: leads().filter_map(|assignment| assignment.max_gap).min(),
            value: leads().map(|assignment| assignment.value).sum(),
        }
    }

    /// What is still to be read a while after it was told.
    #[must_use]
    pub fn unread(&self, after: Millis) -> Work {
        self.read
            .min(Work::from_millis(self.until.saturating_sub(after)))
    }
}
