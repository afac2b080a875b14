//! The health of one backend server, as observed by requests.

use super::limits::MAX_QUARANTINE;
use super::limits::MIN_QUARANTINE;
use super::limits::QUARANTINE_FAILURES;
use crate::types::Millis;
use crate::types::MonoTime;

/// Consecutive failures and the resulting quarantine.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    quarantine_end: MonoTime,
}

impl Health {
    /// Whether the server is out of quarantine.
    #[must_use]
    pub fn is_usable(&self, now: MonoTime) -> bool {
        now >= self.quarantine_end
    }

    /// Records a success, which ends the quarantine.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure caused by the server; returns whether the server is quarantined now.
    pub fn record_failure(&mut self, now: MonoTime) -> bool {
        self.failures += 1;
        if self.failures < QUARANTINE_FAILURES {
            return false;
        }
        self.quarantine(now);
        true
    }

    /// Records that no connection could be opened, which quarantines the server at once.
    pub fn record_unreachable(&mut self, now: MonoTime) {
        self.failures = self.failures.max(QUARANTINE_FAILURES - 1) + 1;
        self.quarantine(now);
    }

    fn quarantine(&mut self, now: MonoTime) {
        // The cap keeps the shift below from overflowing.
        let doublings = (self.failures - QUARANTINE_FAILURES).min(8);
        let span = Millis(MIN_QUARANTINE.get() << doublings).min(MAX_QUARANTINE);
        self.quarantine_end = now.after(span);
    }
}
