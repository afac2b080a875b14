//! One entry's requests at one backend server, summed up.

use super::Seat;
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
    /// Sums up the seats at one server.
    #[must_use]
    pub fn of(server: ServerId, now: MonoTime, seats: &[Seat]) -> Self {
        let unread = || seats.iter().map(|seat| seat.unread(now));
        let last = seats.iter().filter(|seat| seat.read > Work::ZERO);
        let last = last.map(|seat| seat.until).max().unwrap_or(now);
        let leads = || seats.iter().filter(|seat| seat.leads);
        Self {
            server,
            read: unread().sum(),
            until: last.since(now),
            leads: u32::try_from(leads().count()).unwrap_or(u32::MAX),
            memory: seats.iter().map(|seat| seat.memory).sum(),
            pause: leads().filter_map(|seat| seat.max_gap).min(),
            value: leads().map(|seat| seat.value).sum(),
        }
    }

    /// What is still to be read a while after it was told.
    #[must_use]
    pub fn unread(&self, after: Millis) -> Work {
        self.read.min(Work::of(self.until.saturating_sub(after)))
    }
}
