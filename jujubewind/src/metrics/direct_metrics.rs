//! Metrics of an entry that serves without agents.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::first_token_histogram::decade;
use super::first_token_histogram::histogram;
use super::reason_counter::ReasonCounter;
use crate::direct::Notice;
use crate::direct::Outcome;
use crate::direct::TablePart;
use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::Revision;
use crate::types::Tokens;

/// The label of counters by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// The label of counters by kind of announcement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NoticeLabel {
    kind: &'static str,
}

/// The label of gauges by part of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartLabel {
    part: &'static str,
}

/// The label of counters by cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// The label of histograms by decade of the prompt's length.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecadeLabel {
    decade: &'static str,
}

/// Values of the gauges, which are collected at each scrape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectGauges {
    /// The version of the current table.
    pub version: Revision,
    /// Time since the table was last confirmed to be the newest.
    pub staleness: Option<Millis>,
    /// Number of listed backend servers.
    pub servers: usize,
    /// Number of other entries heard from recently.
    pub peers: usize,
    /// Number of requests that wait for a backend server.
    pub waiting: usize,
    /// Number of backend servers whose limit on requests is in force.
    pub limited: usize,
    /// Number of cold backend servers.
    pub cold: usize,
    /// Number of evacuated failure domains.
    pub evacuated: usize,
    /// Number of requests in progress.
    pub open: usize,
    /// Number of callers' connections and listeners.
    pub connections: usize,
    /// Bytes of bodies that are held.
    pub body_bytes: usize,
}

/// The metrics of an entry that serves without agents.
#[derive(Debug)]
pub struct DirectMetrics {
    registry: Registry,
    refusals: ReasonCounter,
    outcomes: Family<OutcomeLabel, Counter>,
    truncated: Family<CauseLabel, Counter>,
    retries: Counter,
    notices: Family<NoticeLabel, Counter>,
    held: Counter,
    closed: Counter,
    dropped_digests: Counter,
    dropped_feed: Counter,
    first_event: Family<DecadeLabel, Histogram>,
    answer: Family<DecadeLabel, Histogram>,
    max_gap: Family<DecadeLabel, Histogram>,
    version: Gauge,
    unread: Family<PartLabel, Gauge>,
    staleness: Gauge,
    servers: Gauge,
    peers: Gauge,
    waiting: Gauge,
    limited: Gauge,
    cold: Gauge,
    evacuated: Gauge,
    open: Gauge,
    connections: Gauge,
    body_bytes: Gauge,
}

impl Default for DirectMetrics {
    fn default() -> Self {
        let family = || Family::new_with_constructor(histogram as fn() -> Histogram);
        let mut metrics = Self {
            registry: Registry::with_prefix("jujube_direct"),
            refusals: ReasonCounter::default(),
            outcomes: Family::default(),
            truncated: Family::default(),
            retries: Counter::default(),
            notices: Family::default(),
            held: Counter::default(),
            closed: Counter::default(),
            dropped_digests: Counter::default(),
            dropped_feed: Counter::default(),
            first_event: family(),
            answer: family(),
            max_gap: family(),
            version: Gauge::default(),
            unread: Family::default(),
            staleness: Gauge::default(),
            servers: Gauge::default(),
            peers: Gauge::default(),
            waiting: Gauge::default(),
            limited: Gauge::default(),
            cold: Gauge::default(),
            evacuated: Gauge::default(),
            open: Gauge::default(),
            connections: Gauge::default(),
            body_bytes: Gauge::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }
}

impl DirectMetrics {
    /// Counts a request that failed without a backend server's answer.
    pub fn count_failure(&self, reason: Reason) {
        self.refusals.inc(reason);
    }

    /// Counts an attempt at a backend server by its outcome.
    pub fn count_outcome(&self, outcome: Outcome) {
        let outcome = outcome.as_str();
        self.outcomes.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts an answer that was truncated, by cause.
    pub fn count_truncated(&self, cause: &'static str) {
        self.truncated.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a request that was sent again.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts requests for which the limit of a backend server left no room.
    pub fn count_held(&self, count: u64) {
        self.held.inc_by(count);
    }

    /// Counts connections that were closed to make room for others.
    pub fn count_closed(&self, count: u64) {
        self.closed.inc_by(count);
    }

    /// Counts a digest that was not sent as too many were waiting.
    pub fn count_dropped_digest(&self) {
        self.dropped_digests.inc();
    }

    /// Counts a question or answer about the store's changes that was dropped as too many were
    /// waiting.
    pub fn count_dropped_feed(&self) {
        self.dropped_feed.inc();
    }

    /// Counts an announcement of a backend server.
    pub fn count_notice(&self, notice: Notice) {
        let kinds = [
            ("leaving", notice.leaving),
            ("pause", notice.pause.is_some()),
        ];
        for (kind, _) in kinds.into_iter().filter(|(_, is_set)| *is_set) {
            self.notices.get_or_create(&NoticeLabel { kind }).inc();
        }
    }

    /// Sets the number of items of a part of the configuration that cannot be read.
    pub fn set_unread(&self, part: TablePart, count: usize) {
        let part = part.as_str();
        let gauge = self.unread.get_or_create(&PartLabel { part });
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, prompt: Tokens, took: Millis) {
        observe(&self.first_event, prompt, took);
    }

    /// Records the time to the end of an answer, and the longest gap between its events.
    pub fn record_end(&self, prompt: Tokens, took: Millis, max_gap: Millis) {
        observe(&self.answer, prompt, took);
        observe(&self.max_gap, prompt, max_gap);
    }

    /// Sets the gauges and returns all metrics in text format.
    #[must_use]
    pub fn encode(&self, gauges: &DirectGauges) -> String {
        let to_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let version = i64::try_from(gauges.version.get()).unwrap_or(i64::MAX);
        let staleness = gauges
            .staleness
            .and_then(|age| i64::try_from(age.get()).ok());
        self.version.set(version);
        self.staleness.set(staleness.unwrap_or(-1));
        self.servers.set(to_gauge(gauges.servers));
        self.peers.set(to_gauge(gauges.peers));
        self.waiting.set(to_gauge(gauges.waiting));
        self.limited.set(to_gauge(gauges.limited));
        self.cold.set(to_gauge(gauges.cold));
        self.evacuated.set(to_gauge(gauges.evacuated));
        self.open.set(to_gauge(gauges.open));
        self.connections.set(to_gauge(gauges.connections));
        self.body_bytes.set(to_gauge(gauges.body_bytes));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            crate::event!(error, "metrics_not_encoded", error = error);
        }
        text
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refusals",
            "Requests that ended without a backend server's answer, by reason",
            self.refusals.family(),
        );
        registry.register(
            "stays",
            "Stays at backend servers, by outcome",
            self.outcomes.clone(),
        );
        registry.register(
            "truncated",
            "Answers that ended before they were complete, by cause",
            self.truncated.clone(),
        );
        registry.register("repeats", "Requests sent once more", self.retries.clone());
        registry.register(
            "notices",
            "Announcements of backend servers that want fewer or no requests, by kind",
            self.notices.clone(),
        );
        registry.register(
            "held",
            "Requests for which the limit of a backend server left no room there",
            self.held.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections of callers that were closed to make room for others",
            self.closed.clone(),
        );
        registry.register(
            "dropped_digests",
            "Updates to peers that were not sent as too many were waiting",
            self.dropped_digests.clone(),
        );
        registry.register(
            "dropped_feed",
            "Questions and answers about the store's changes that were dropped as too many were waiting",
            self.dropped_feed.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to first event",
            self.first_event.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the answer's end",
            self.answer.clone(),
        );
        registry.register(
            "pause_seconds",
            "Longest pause of an answer",
            self.max_gap.clone(),
        );
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "version",
            "Version of the table in force",
            self.version.clone(),
        );
        registry.register(
            "unread",
            "Items of the newest configuration that cannot be read, by part",
            self.unread.clone(),
        );
        registry.register(
            "proof_age_milliseconds",
            "Time since the table was certainly the newest; -1 if never",
            self.staleness.clone(),
        );
        registry.register("servers", "Backend servers listed", self.servers.clone());
        registry.register("peers", "Other entries heard of lately", self.peers.clone());
        registry.register(
            "waiting",
            "Requests that wait for a backend server",
            self.waiting.clone(),
        );
        registry.register(
            "limited_servers",
            "Backend servers whose limit on requests is in force",
            self.limited.clone(),
        );
        registry.register(
            "cold_servers",
            "Backend servers that are cold",
            self.cold.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains whose backend servers get nothing new",
            self.evacuated.clone(),
        );
        registry.register("open", "Requests in hand", self.open.clone());
        registry.register(
            "connections",
            "Connections of callers, and listeners",
            self.connections.clone(),
        );
        registry.register(
            "body_bytes",
            "Bytes of bodies that are held",
            self.body_bytes.clone(),
        );
    }
}

fn observe(family: &Family<DecadeLabel, Histogram>, prompt: Tokens, took: Millis) {
    let label = DecadeLabel {
        decade: decade(prompt),
    };
    family
        .get_or_create(&label)
        .observe(took.duration().as_secs_f64());
}
