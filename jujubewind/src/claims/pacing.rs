//! Pauses between tries at a store that fails.

use super::Limits;
use crate::types::Millis;
use crate::types::MonoTime;

/// Counts one run of failures of the store.
#[derive(Debug)]
pub struct Pacing {
    limits: Limits,
    since: Option<MonoTime>,
    pause: Millis,
    doubted: bool,
}

impl Pacing {
    /// Starts without failures.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            since: None,
            pause: limits.pause,
            doubted: false,
        }
    }

    /// The store answered.
    pub const fn recovered(&mut self) {
        *self = Self::new(self.limits);
    }

    /// Whether this is the first lost answer of the run, which is worth a read at once.
    pub const fn first_doubt(&mut self) -> bool {
        let first = !self.doubted;
        self.doubted = true;
        first
    }

    /// Notes a failure; gives the time of the next try, or `None` once `patience` is used up.
    pub fn failed(&mut self, now: MonoTime, patience: Millis) -> Option<MonoTime> {
        let since = *self.since.get_or_insert(now);
        if now.since(since) >= patience {
            return None;
        }
        let until = now.after(self.pause);
        self.pause = Limits::MAX_PAUSE.min(Millis(self.pause.get() * 2));
        Some(until)
    }
}
