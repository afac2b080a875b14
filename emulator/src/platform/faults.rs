//! Faults that are switched while the platform runs.

use jujubewind::types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every connection is closed without an answer, watches too.
    pub down: bool,
    /// Each call waits so long before it is looked at.
    pub slow_ms: Millis,
    /// Writes are applied, then their connection is closed without an answer.
    pub lose_answers: bool,
    /// As `lose_answers`, for so many of the next writes.
    pub lose_next: u64,
    /// Watches stay open and tell nothing.
    pub freeze_watches: bool,
    /// How far the list of VMs lags behind.
    pub vm_lag_ms: Millis,
}

impl PlatformFaults {
    /// Whether the answer to the write that was just applied is lost.
    pub(crate) fn loses_answer(&mut self) -> bool {
        if self.lose_next > 0 {
            self.lose_next -= 1;
            return true;
        }
        self.lose_answers
    }
}

/// A change of faults; a field left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct PlatformSwitch {
    down: Option<bool>,
    slow_ms: Option<Millis>,
    lose_answers: Option<bool>,
    lose_next: Option<u64>,
    freeze_watches: Option<bool>,
    vm_lag_ms: Option<Millis>,
}

impl PlatformSwitch {
    /// Changes `faults`.
    pub(crate) fn apply(&self, faults: &mut PlatformFaults) {
        faults.down = self.down.unwrap_or(faults.down);
        faults.slow_ms = self.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = self.lose_answers.unwrap_or(faults.lose_answers);
        faults.lose_next = self.lose_next.unwrap_or(faults.lose_next);
        faults.freeze_watches = self.freeze_watches.unwrap_or(faults.freeze_watches);
        faults.vm_lag_ms = self.vm_lag_ms.unwrap_or(faults.vm_lag_ms);
    }
}
