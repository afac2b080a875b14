//! Faults that are switched while the engine runs.

use jujubewind::types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Faults of the engine's core; each stays until it is switched again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Steps take this many times as long.
    pub slow: f64,
    /// Orders with an old fencing number are carried out.
    pub ignore_fences: bool,
    /// Every event with a number that this divides is lost; zero loses none.
    pub gap_events: u64,
    /// The age at which cache events are published.
    pub event_lag_ms: Millis,
    /// The age at which the load is published.
    pub load_lag_ms: Millis,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            ignore_fences: false,
            gap_events: 199,
            event_lag_ms: Millis(300),
            load_lag_ms: Millis(1_000),
        }
    }
}
