//! Counters by refusal reason.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::refusal::Reason;

/// The label of counters by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabel {
    reason: &'static str,
}

/// One counter for each reason; all are exported from the start.
#[derive(Clone, Debug)]
pub(super) struct ReasonCounter {
    counters: Family<ReasonLabel, Counter>,
}

impl Default for ReasonCounter {
    fn default() -> Self {
        let counters = Family::<ReasonLabel, Counter>::default();
        for reason in Reason::ALL {
            let _ = counters.get_or_create(&label(*reason));
        }
        Self { counters }
    }
}

impl ReasonCounter {
    /// Returns the counters, for registration.
    pub(super) fn family(&self) -> Family<ReasonLabel, Counter> {
        self.counters.clone()
    }

    /// Increments the counter of `reason`.
    pub(super) fn inc(&self, reason: Reason) {
        self.counters.get_or_create(&label(reason)).inc();
    }
}

fn label(reason: Reason) -> ReasonLabel {
    ReasonLabel {
        reason: reason.as_str(),
    }
}
