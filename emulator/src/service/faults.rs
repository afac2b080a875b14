//! Faults that can be injected while the service runs.

use jujubewind::types::Millis;
use jujubewind::types::RequestRate;
use serde::Deserialize;
use serde::Serialize;

/// The active faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before each execution.
    pub delay_ms: Millis,
    /// Executes calls, then closes the connection without a response.
    pub lose_answers: bool,
    /// Responds with status 500 without executing calls.
    pub fail: bool,
    /// Names a limit on requests in all responses, in thousandths of a request a second.
    pub limit_milli: Option<RequestRate>,
}

/// Partial update of the faults; omitted fields stay unchanged.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ServiceSwitch {
    delay_ms: Option<Millis>,
    lose_answers: Option<bool>,
    fail: Option<bool>,
    limit_milli: Option<RequestRate>,
}

impl ServiceSwitch {
    /// Applies the update to `faults`.
    pub(crate) fn apply(self, faults: &mut ServiceFaults) {
        faults.delay_ms = self.delay_ms.unwrap_or(faults.delay_ms);
        faults.lose_answers = self.lose_answers.unwrap_or(faults.lose_answers);
        faults.fail = self.fail.unwrap_or(faults.fail);
        faults.limit_milli = self.limit_milli.or(faults.limit_milli);
    }
}
