//! How long ago the table was last confirmed to be the newest.

use super::BootTime;
use crate::types::Millis;

/// The last time at which the table was known to be the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    at: Option<BootTime>,
}

impl Freshness {
    /// Records that a read or watch that was sent at `sent` returned the newest table.
    pub fn renew(&mut self, sent: BootTime) {
        self.at = self.at.max(Some(sent));
    }

    /// The time since the last confirmation; `None` if there was none.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Millis> {
        self.at.map(|at| now.since(at))
    }

    /// Whether the last confirmation is younger than `limit`.
    #[must_use]
    pub fn is_within(&self, now: BootTime, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
