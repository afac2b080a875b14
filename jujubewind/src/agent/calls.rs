//! The calls that an agent has sent to a plain service.

use std::collections::BTreeMap;

use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

/// How long an ended call is remembered, so that its attempt is not sent again.
const RETENTION: Millis = Millis(60_000);

/// Open calls and recently ended calls.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    ended_at: BTreeMap<AttemptId, Option<MonoTime>>,
}

impl Calls {
    /// Records a call that is about to be sent; `false` if the attempt was sent before.
    pub fn begin(&mut self, attempt: AttemptId) -> bool {
        if self.was_sent(attempt) {
            return false;
        }
        self.ended_at.insert(attempt, None);
        true
    }

    /// Records that a call has ended.
    pub fn end(&mut self, now: MonoTime, attempt: AttemptId) {
        self.ended_at.insert(attempt, Some(now));
    }

    /// Whether the attempt was ever sent.
    #[must_use]
    pub fn was_sent(&self, attempt: AttemptId) -> bool {
        self.ended_at.contains_key(&attempt)
    }

    /// The number of open calls.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.ended_at
            .values()
            .filter(|ended| ended.is_none())
            .count()
    }

    /// Removes ended calls past their retention.
    pub fn prune(&mut self, now: MonoTime) {
        self.ended_at
            .retain(|_, ended| ended.is_none_or(|at| now < at.after(RETENTION)));
    }
}
