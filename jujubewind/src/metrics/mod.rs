//! Metrics in the Prometheus text format.

mod agent_metrics;
mod direct_metrics;
mod entry_metrics;
mod first_token_histogram;
mod held_metrics;
mod reason_counter;

pub use agent_metrics::AgentMetrics;
pub use direct_metrics::DirectGauges;
pub use direct_metrics::DirectMetrics;
pub use entry_metrics::EntryMetrics;
pub use held_metrics::HeldMetrics;
