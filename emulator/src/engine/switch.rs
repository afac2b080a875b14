//! The request that changes the engine's faults over HTTP.

use jujubewind::types::Millis;
use serde::Deserialize;

use super::core::EngineFaults;

jujubewind::label! {
    /// How the engine crashes.
    pub enum Crash {
        /// Exits the process if the options allow it; otherwise like `restart`.
        Exit = "exit",
        /// Loses all state and restarts after a delay.
        Restart = "restart",
    }
}

/// A change of faults; omitted fields keep their values.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct EngineSwitch {
    /// Crashes the engine now.
    pub(crate) crash: Option<Crash>,
    /// Freezes the engine and its HTTP API for this long.
    pub(crate) freeze_ms: Option<Millis>,
    /// Resets every response stream now; the sequences continue.
    pub(crate) drop_streams: bool,
    slow: Option<f64>,
    ignore_fences: Option<bool>,
    gap_events: Option<u64>,
    event_lag_ms: Option<Millis>,
    load_lag_ms: Option<Millis>,
}

impl EngineSwitch {
    /// Applies the change to `faults`.
    pub(crate) fn apply(&self, faults: &mut EngineFaults) {
        faults.slow = self.slow.unwrap_or(faults.slow);
        faults.ignore_fences = self.ignore_fences.unwrap_or(faults.ignore_fences);
        faults.gap_events = self.gap_events.unwrap_or(faults.gap_events);
        faults.event_lag_ms = self.event_lag_ms.unwrap_or(faults.event_lag_ms);
        faults.load_lag_ms = self.load_lag_ms.unwrap_or(faults.load_lag_ms);
    }
}
