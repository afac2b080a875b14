//! The metrics of an entry.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use super::reason_counter::ReasonCounter;
use crate::refusal::Reason;

/// Counters of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    refusals: ReasonCounter,
    retries: ReasonCounter,
    dropped: Counter,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jujube_entry");
        let refusals = ReasonCounter::default();
        let retries = ReasonCounter::default();
        let dropped = Counter::default();
        registry.register(
            "refusals",
            "Requests refused or failed, by reason",
            refusals.family(),
        );
        registry.register(
            "retries",
            "Attempts given up for another, by reason",
            retries.family(),
        );
        registry.register(
            "frames_dropped",
            "Frames of another attempt",
            dropped.clone(),
        );
        Self {
            registry,
            refusals,
            retries,
            dropped,
        }
    }
}

impl EntryMetrics {
    /// Counts a refusal or failure.
    pub fn refused(&self, reason: Reason) {
        self.refusals.inc(reason);
    }

    /// Counts an attempt that was given up for another.
    pub fn retried(&self, reason: Reason) {
        self.retries.inc(reason);
    }

    /// Counts a frame of another attempt.
    pub fn dropped(&self) {
        self.dropped.inc();
    }

    /// All metrics as text.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
