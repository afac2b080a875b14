//! Faults that are switched while the service runs.

use jujubewind::types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Each execution waits so long before it begins.
    pub delay_ms: Millis,
    /// Calls are executed, then their connection is closed without an answer.
    pub lose_answers: bool,
    /// Calls are answered with status 500 and not executed.
    pub fail: bool,
}

/// A change of faults; a field left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ServiceSwitch {
    delay_ms: Option<Millis>,
    lose_answers: Option<bool>,
    fail: Option<bool>,
}

impl ServiceSwitch {
    /// Changes `faults`.
    pub(crate) fn apply(self, faults: &mut ServiceFaults) {
        faults.delay_ms = self.delay_ms.unwrap_or(faults.delay_ms);
        faults.lose_answers = self.lose_answers.unwrap_or(faults.lose_answers);
        faults.fail = self.fail.unwrap_or(faults.fail);
    }
}
