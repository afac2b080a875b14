//! Metrics of an agent.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::reason_counter::ReasonCounter;
use crate::refusal::Reason;
use crate::types::Tokens;

/// The metrics of an agent.
#[derive(Debug)]
pub struct AgentMetrics {
    registry: Registry,
    refusals: ReasonCounter,
    orphans: Counter,
    open: Gauge,
    reserved: Gauge,
    held: Gauge,
}

impl Default for AgentMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jujube_agent");
        let refusals = ReasonCounter::default();
        let orphans = Counter::default();
        let open = Gauge::default();
        let reserved = Gauge::default();
        let held = Gauge::default();
        registry.register("refusals", "Attempts refused, by reason", refusals.family());
        registry.register(
            "strays",
            "Sequences stopped that nobody owns",
            orphans.clone(),
        );
        registry.register("open", "Attempts and calls that are not over", open.clone());
        registry.register(
            "reserved_tokens",
            "Engine memory reserved",
            reserved.clone(),
        );
        registry.register(
            "held_bytes",
            "Bytes of requests and responses that are held",
            held.clone(),
        );
        Self {
            registry,
            refusals,
            orphans,
            open,
            reserved,
            held,
        }
    }
}

impl AgentMetrics {
    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.inc(reason);
    }

    /// Counts orphaned sequences of the engine that were stopped.
    pub fn count_orphans(&self, count: usize) {
        self.orphans.inc_by(count as u64);
    }

    /// Sets the gauges and returns all metrics in text format.
    #[must_use]
    pub fn encode(&self, open: usize, reserved: Tokens, held: usize) -> String {
        self.held.set(i64::try_from(held).unwrap_or(i64::MAX));
        self.open.set(i64::try_from(open).unwrap_or(i64::MAX));
        self.reserved
            .set(i64::try_from(reserved.get()).unwrap_or(i64::MAX));
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
