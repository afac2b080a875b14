//! The calls to a plain service that an agent has sent.

use std::collections::BTreeMap;

use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

/// How long an ended call is remembered, so that its attempt is never sent again.
const LINGER: Millis = Millis(60_000);

/// Calls under way and those that ended lately.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    known: BTreeMap<AttemptId, Option<MonoTime>>,
}

impl Calls {
    /// Notes a call that is being sent; `false` if the attempt was sent before.
    pub fn begin(&mut self, attempt: AttemptId) -> bool {
        if self.sent(attempt) {
            return false;
        }
        self.known.insert(attempt, None);
        true
    }

    /// Notes that a call is over.
    pub fn end(&mut self, now: MonoTime, attempt: AttemptId) {
        self.known.insert(attempt, Some(now));
    }

    /// Whether the attempt was ever sent.
    #[must_use]
    pub fn sent(&self, attempt: AttemptId) -> bool {
        self.known.contains_key(&attempt)
    }

    /// How many calls are under way.
    #[must_use]
    pub fn open(&self) -> usize {
        self.known.values().filter(|ended| ended.is_none()).count()
    }

    /// Forgets calls that ended long ago.
    pub fn prune(&mut self, now: MonoTime) {
        self.known
            .retain(|_, ended| ended.is_none_or(|at| now < at.after(LINGER)));
    }
}
