//! Metrics of an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::HeldMetrics;
use super::first_token_histogram::FirstTokenHistogram;
use super::held_metrics::HeldGauges;
use super::reason_counter::ReasonCounter;
use crate::refusal::Reason;
use crate::types::Class;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::Revision;
use crate::types::Tokens;

/// The label of gauges by catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EntryLabel {
    entry: String,
}

/// The metrics of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    refusals: ReasonCounter,
    retries: ReasonCounter,
    dropped: Counter,
    served: Counter,
    tokens: Counter,
    first: FirstTokenHistogram,
    revision: Gauge,
    age: Gauge,
    members: Gauge,
    held: HeldGauges,
    credit: Family<EntryLabel, Gauge>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("jujube_entry");
        let refusals = ReasonCounter::default();
        let retries = ReasonCounter::default();
        let dropped = Counter::default();
        let served = Counter::default();
        let tokens = Counter::default();
        let first = FirstTokenHistogram::default();
        let revision = Gauge::default();
        let age = Gauge::default();
        let members = Gauge::default();
        let held = HeldGauges::register(&mut registry);
        let credit = Family::<EntryLabel, Gauge>::default();
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
        registry.register("served", "Answers that came to their end", served.clone());
        registry.register("tokens", "Tokens handed to callers", tokens.clone());
        registry.register("first_token_seconds", "Time to first token", first.family());
        registry.register("revision", "Catalogue revision in force", revision.clone());
        registry.register(
            "revision_age_milliseconds",
            "Time since the store or a peer last spoke of its revision; -1 if never",
            age.clone(),
        );
        registry.register(
            "credit_milliseconds",
            "Engine time drawn and not spent, by catalogue entry",
            credit.clone(),
        );
        registry.register("members", "Members believed to live", members.clone());
        Self {
            registry,
            refusals,
            retries,
            dropped,
            served,
            tokens,
            first,
            revision,
            age,
            members,
            held,
            credit,
        }
    }
}

impl EntryMetrics {
    /// Counts a refused or failed request.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.inc(reason);
    }

    /// Counts an attempt that was given up and retried.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.inc(reason);
    }

    /// Counts a frame that belonged to another attempt.
    pub fn count_dropped(&self) {
        self.dropped.inc();
    }

    /// Counts a complete answer and its tokens.
    pub fn record_served(&self, tokens: Tokens) {
        self.served.inc();
        self.tokens.inc_by(tokens.get());
    }

    /// Records the time to first token.
    pub fn record_first_token(&self, prompt: Tokens, class: Class, span: Millis) {
        self.first.observe(prompt, class, span);
    }

    /// Sets the gauge of a catalogue entry's credit that is drawn and not spent.
    pub fn set_credit(&self, entry: &EntryId, credit: Credit) {
        let label = EntryLabel {
            entry: entry.to_string(),
        };
        let amount = i64::try_from(credit.get()).unwrap_or(i64::MAX);
        self.credit.get_or_create(&label).set(amount);
    }

    /// Sets the gauges of what callers make the process hold.
    pub fn set_held(&self, held: HeldMetrics) {
        self.held.set(held);
    }

    /// Sets the gauges and returns all metrics in text format.
    #[must_use]
    pub fn encode(&self, revision: Revision, age: Option<Millis>, members: usize) -> String {
        self.revision
            .set(i64::try_from(revision.get()).unwrap_or(i64::MAX));
        let millis = age.and_then(|age| i64::try_from(age.get()).ok());
        self.age.set(millis.unwrap_or(-1));
        self.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
