//! Injected faults, configurable at run time.

use jujubewind::types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Faults of the engine core, each active until it is changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor on the duration of steps.
    pub slow: f64,
    /// Whether orders with a stale fencing token are executed.
    pub ignore_fences: bool,
    /// Every event whose number is a multiple of this is dropped; zero drops none.
    pub gap_events: u64,
    /// The delay before cache events are published.
    pub event_lag_ms: Millis,
    /// The delay before the load is published.
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
