//! What a process holds for its callers, as metrics.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What callers make a process hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldMetrics {
    /// Bytes of requests and responses that are held.
    pub bytes: usize,
    /// Number of callers' connections and listeners.
    pub connections: usize,
    /// Connections that were closed for others since they were last counted.
    pub closed: u64,
}

/// The metrics of what callers make a process hold.
#[derive(Debug, Default)]
pub(super) struct HeldGauges {
    bytes: Gauge,
    connections: Gauge,
    closed: Counter,
}

impl HeldGauges {
    /// Creates metrics that are a part of `registry`.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let gauges = Self::default();
        registry.register(
            "held_bytes",
            "Bytes of requests and responses that are held",
            gauges.bytes.clone(),
        );
        registry.register(
            "connections",
            "Connections of callers and listeners",
            gauges.connections.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections that were closed to make room for others",
            gauges.closed.clone(),
        );
        gauges
    }

    pub(super) fn set(&self, held: HeldMetrics) {
        self.bytes
            .set(i64::try_from(held.bytes).unwrap_or(i64::MAX));
        let connections = i64::try_from(held.connections).unwrap_or(i64::MAX);
        self.connections.set(connections);
        self.closed.inc_by(held.closed);
    }
}
