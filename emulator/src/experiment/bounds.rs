//! Performance targets that the shipped policy must meet in the simulated runs.

use std::collections::BTreeMap;

use jujubewind::retry;

use super::Policy;
use super::Report;
use super::Site;
use super::convert::to_f64;
use super::links;

/// The load at which the slowdown and the share of long requests in time are checked.
const CHECKED_LOAD: f64 = 0.8;
/// The most slowdown of short prompts, at the 95th percentile.
const MAX_SLOWDOWN: f64 = 1.5;
/// The least ratio of the slowdown under round robin, first come first served, to that of
/// [`Policy::QuotesLaxity`].
const MIN_GAIN: f64 = 10.0;
/// The least share of long requests that end in time.
const MIN_LONG_IN_TIME: f64 = 0.99;
/// The least goodput at twice the capacity, as a share of the goodput at capacity.
const MIN_OVERLOAD_GOODPUT: f64 = 0.9;
/// Sequential messages of one attempt: quote request and reply, start and refusal.
const MESSAGES_PER_ATTEMPT: u64 = 4;
/// The policies with which [`Policy::QuotesLaxity`] is compared.
const BASELINES: [Policy; 3] = [
    Policy::RoundRobin,
    Policy::LeastLoaded,
    Policy::LengthPartition,
];
/// The names of the decades of prompt length, in tokens.
const DECADES: [&str; 4] = ["1k", "10k", "100k", "1M"];

/// The targets for [`Policy::QuotesLaxity`]: short prompts must not wait behind long ones, long
/// requests must still end in time, and overload must neither reduce the goodput nor delay
/// refusals.
///
/// Each check returns a description of every target that is missed.
#[derive(Debug)]
pub struct Bounds;

impl Bounds {
    /// Returns the targets that the runs at one load miss.
    #[must_use]
    pub fn check(site: Site, load: f64, reports: &BTreeMap<Policy, Report>) -> Vec<String> {
        let mut missed = check_first_tokens(reports);
        if (load - CHECKED_LOAD).abs() < f64::EPSILON {
            missed.extend(check_high_load(reports));
        }
        let name = |miss| format!("{site}, load {load}: {miss}");
        missed.into_iter().map(name).collect()
    }

    /// Returns the targets that a run at twice the capacity misses.
    #[must_use]
    pub fn check_overload(full: &Report, twice: &Report) -> Vec<String> {
        let ratio = twice.goodput / full.goodput;
        let mut missed = unless_met(ratio >= MIN_OVERLOAD_GOODPUT, || {
            format!("goodput at twice the capacity {ratio:.2} < {MIN_OVERLOAD_GOODPUT}")
        });
        let (refusal, bound) = (twice.refusal_latency(0.95), max_refusal_latency_ms());
        missed.extend(unless_met(refusal <= bound || refusal.is_nan(), || {
            format!("p95 to the final answer of failed requests {refusal:.0} ms > {bound:.0} ms")
        }));
        missed
    }
}

/// Returns the most time to the final answer of a failed request. Refusals are not queued, so it is
/// the time for the messages of all attempts over the slowest links.
fn max_refusal_latency_ms() -> f64 {
    let attempts = u64::from(retry::Settings::default().max_attempts);
    to_f64(
        attempts * MESSAGES_PER_ATTEMPT * links::CROSS_DOMAIN_DELAY_MICROS
            + 2 * links::CLIENT_DELAY_MICROS,
    ) / 1_000.0
}

/// Checks that no decade is slower than under the best baseline, and that the shortest one takes at
/// most half the time.
fn check_first_tokens(reports: &BTreeMap<Policy, Report>) -> Vec<String> {
    let mut missed = Vec::new();
    for (index, name) in DECADES.iter().enumerate() {
        let p95 = |policy: &Policy| reports[policy].decades[index].quantile(0.95);
        let best = BASELINES.iter().map(p95).fold(f64::INFINITY, f64::min);
        let bound = if index == 0 { best / 2.0 } else { best };
        let actual = p95(&Policy::QuotesLaxity);
        missed.extend(unless_met(actual <= bound || actual.is_nan(), || {
            format!("p95 to first token at {name} {actual:.0} ms > {bound:.0} ms")
        }));
    }
    missed
}

fn check_high_load(reports: &BTreeMap<Policy, Report>) -> Vec<String> {
    let report = &reports[&Policy::QuotesLaxity];
    let slowdown = report.slowdown_quantile(0.95);
    let gain = reports[&Policy::RoundRobin].slowdown_quantile(0.95) / slowdown;
    let in_time = report.long_in_time;
    let mut missed = unless_met(slowdown <= MAX_SLOWDOWN, || {
        format!("slowdown of short prompts {slowdown:.2} > {MAX_SLOWDOWN}")
    });
    missed.extend(unless_met(gain >= MIN_GAIN, || {
        format!("gain over round robin {gain:.1} < {MIN_GAIN}")
    }));
    missed.extend(unless_met(in_time >= MIN_LONG_IN_TIME, || {
        format!("long requests in time {in_time:.3} < {MIN_LONG_IN_TIME}")
    }));
    missed
}

/// Returns the description of a target unless it was met.
fn unless_met(met: bool, text: impl FnOnce() -> String) -> Vec<String> {
    if met { Vec::new() } else { vec![text()] }
}
