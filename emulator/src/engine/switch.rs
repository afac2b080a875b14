//! Changes of the engine's faults over HTTP.

use jujubewind::types::Millis;
use serde::Deserialize;

use super::core::EngineFaults;

jujubewind::label! {
    /// How the engine crashes.
    pub enum Crash {
        /// The process ends, if it may; otherwise like `restart`.
        Exit = "exit",
        /// All is forgotten, and the engine is back a while later.
        Restart = "restart",
    }
}

/// A change of faults; a field left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct EngineSwitch {
    /// Crashes the engine now.
    pub(crate) crash: Option<Crash>,
    /// Stands still for so long, answers to requests included.
    pub(crate) freeze_ms: Option<Millis>,
    /// Breaks every stream now; the sequences go on.
    pub(crate) drop_streams: bool,
    slow: Option<f64>,
    ignore_fences: Option<bool>,
    gap_events: Option<u64>,
    event_lag_ms: Option<Millis>,
    load_lag_ms: Option<Millis>,
}

impl EngineSwitch {
    /// Changes `faults`.
    pub(crate) fn apply(&self, faults: &mut EngineFaults) {
        faults.slow = self.slow.unwrap_or(faults.slow);
        faults.ignore_fences = self.ignore_fences.unwrap_or(faults.ignore_fences);
        faults.gap_events = self.gap_events.unwrap_or(faults.gap_events);
        faults.event_lag_ms = self.event_lag_ms.unwrap_or(faults.event_lag_ms);
        faults.load_lag_ms = self.load_lag_ms.unwrap_or(faults.load_lag_ms);
    }
}
