//! A counter for each refusal reason.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::refusal::Reason;

/// The label of a counter by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabel {
    reason: &'static str,
}

/// Counts by reason; each reason is present from the start.
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
    /// The counters, for registration.
    pub(super) fn family(&self) -> Family<ReasonLabel, Counter> {
        self.counters.clone()
    }

    /// Counts one.
    pub(super) fn inc(&self, reason: Reason) {
        self.counters.get_or_create(&label(reason)).inc();
    }
}

fn label(reason: Reason) -> ReasonLabel {
    ReasonLabel {
        reason: reason.as_str(),
    }
}
