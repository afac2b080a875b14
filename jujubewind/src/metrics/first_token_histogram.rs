//! Histogram of the time to first token, by length of the prompt and class of work.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;

use crate::types::Class;
use crate::types::Millis;
use crate::types::Tokens;

/// The upper bound of the first bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.02;
/// The ratio of the bounds of successive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// The number of buckets; the bound of the last is about 11 minutes.
const BUCKET_COUNT: u16 = 16;

/// The labels of the histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct FirstTokenLabel {
    decade: &'static str,
    class: &'static str,
}

/// One histogram in seconds for each decade of length and each class.
#[derive(Clone, Debug)]
pub(super) struct FirstTokenHistogram {
    family: Family<FirstTokenLabel, Histogram>,
}

impl Default for FirstTokenHistogram {
    fn default() -> Self {
        let family = Family::new_with_constructor(histogram as fn() -> Histogram);
        Self { family }
    }
}

impl FirstTokenHistogram {
    /// Returns the histograms, for registration.
    pub(super) fn family(&self) -> Family<FirstTokenLabel, Histogram> {
        self.family.clone()
    }

    /// Records a first token that arrived after `span`.
    pub(super) fn observe(&self, prompt: Tokens, class: Class, span: Millis) {
        let label = FirstTokenLabel {
            decade: decade(prompt),
            class: class.as_str(),
        };
        let seconds = span.duration().as_secs_f64();
        self.family.get_or_create(&label).observe(seconds);
    }
}

pub(super) fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}

/// Returns the decade of a prompt's length, named after its lower bound.
pub(super) const fn decade(prompt: Tokens) -> &'static str {
    match prompt.get() {
        0..1_000 => "below_1k",
        1_000..10_000 => "1k",
        10_000..100_000 => "10k",
        100_000..1_000_000 => "100k",
        _ => "1m",
    }
}
