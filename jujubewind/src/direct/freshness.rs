//! How long ago it was certain that the key table is the newest.

use super::BootTime;
use crate::types::Millis;

/// The last time at which the table was certainly the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    at: Option<BootTime>,
}

impl Freshness {
    /// Notes that a question asked at `asked` was answered with the newest table.
    pub fn renew(&mut self, asked: BootTime) {
        self.at = self.at.max(Some(asked));
    }

    /// The proof's age; `None` if there never was one.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Millis> {
        self.at.map(|at| now.since(at))
    }

    /// Whether the proof is younger than `limit`.
    #[must_use]
    pub fn is_within(&self, now: BootTime, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
