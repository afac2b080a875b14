//! Faults that can be injected while the platform runs.

use jujubewind::types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// The active faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes every connection without a response, including watches.
    pub down: bool,
    /// Delay before each call is processed.
    pub slow_ms: Millis,
    /// Applies writes, then closes the connection without a response.
    pub lose_answers: bool,
    /// Number of next writes that are treated as with `lose_answers`.
    pub lose_next: u64,
    /// Keeps watches open but sends no events.
    pub freeze_watches: bool,
    /// Age of the VM list that is returned.
    pub vm_lag_ms: Millis,
}

impl PlatformFaults {
    /// Whether to drop the response to the write just applied; counts down `lose_next`.
    pub(crate) fn drops_response(&mut self) -> bool {
        if self.lose_next > 0 {
            self.lose_next -= 1;
            return true;
        }
        self.lose_answers
    }
}

/// Partial update of the faults; omitted fields stay unchanged.
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
    /// Applies the update to `faults`.
    pub(crate) fn apply(&self, faults: &mut PlatformFaults) {
        faults.down = self.down.unwrap_or(faults.down);
        faults.slow_ms = self.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = self.lose_answers.unwrap_or(faults.lose_answers);
        faults.lose_next = self.lose_next.unwrap_or(faults.lose_next);
        faults.freeze_watches = self.freeze_watches.unwrap_or(faults.freeze_watches);
        faults.vm_lag_ms = self.vm_lag_ms.unwrap_or(faults.vm_lag_ms);
    }
}
