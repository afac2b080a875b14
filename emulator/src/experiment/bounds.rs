//! The targets that the runs are held against.

use std::collections::BTreeMap;

use jujubewind::retry;

use super::Policy;
use super::Report;
use super::Site;
use super::links;
use super::number::float;

/// The load at which slowdown and punctuality are bounded.
const BUSY: f64 = 0.8;
/// The 95th percentile of the slowdown of short prompts.
const SLOWDOWN: f64 = 1.5;
/// How many times lower it is than with round robin and first come, first served.
const GAIN: f64 = 10.0;
/// Long requests in time.
const PUNCTUAL: f64 = 0.99;
/// Goodput at twice the capacity, as a part of goodput at capacity.
const STORM: f64 = 0.9;
/// Messages of one attempt, one after the other: quote and answer, start and refusal.
const MESSAGES: u64 = 4;
/// The policies that a run of ours is compared with.
const BASELINES: [Policy; 3] = [
    Policy::RoundRobin,
    Policy::LeastLoaded,
    Policy::LengthPartition,
];
/// The names of the decades.
const DECADES: [&str; 4] = ["1k", "10k", "100k", "1M"];

/// The targets of issue 5, each a check that names what was missed.
#[derive(Debug)]
pub struct Bounds;

impl Bounds {
    /// The bounds that the runs at one load miss.
    #[must_use]
    pub fn check(site: Site, load: f64, reports: &BTreeMap<Policy, Report>) -> Vec<String> {
        let mut missed = decades(reports);
        if (load - BUSY).abs() < f64::EPSILON {
            missed.extend(busy(reports));
        }
        let name = |miss| format!("{site}, load {load}: {miss}");
        missed.into_iter().map(name).collect()
    }

    /// The bounds that a run at twice the capacity misses.
    #[must_use]
    pub fn storm(full: &Report, twice: &Report) -> Vec<String> {
        let part = twice.goodput / full.goodput;
        let mut missed = miss(part >= STORM, || {
            format!("goodput at twice the capacity {part:.2} < {STORM}")
        });
        let (refusal, bound) = (twice.refusal(0.95), at_once());
        missed.extend(miss(refusal <= bound || refusal.is_nan(), || {
            format!("p95 to the final answer of failed requests {refusal:.0} ms > {bound:.0} ms")
        }));
        missed
    }
}

/// The final answer comes at once, so a failed request takes no more time than the messages of
/// its attempts over the longest links, in milliseconds.
fn at_once() -> f64 {
    let attempts = u64::from(retry::Settings::default().max_attempts);
    float(attempts * MESSAGES * links::FAR + 2 * links::CLIENT) / 1_000.0
}

/// No decade is worse than under the best baseline, and the short one takes at most half.
fn decades(reports: &BTreeMap<Policy, Report>) -> Vec<String> {
    let mut missed = Vec::new();
    for (place, name) in DECADES.iter().enumerate() {
        let p95 = |policy: &Policy| reports[policy].decades[place].percentile(0.95);
        let best = BASELINES.iter().map(p95).fold(f64::INFINITY, f64::min);
        let bound = if place == 0 { best / 2.0 } else { best };
        let ours = p95(&Policy::QuotesLaxity);
        missed.extend(miss(ours <= bound || ours.is_nan(), || {
            format!("p95 to first token at {name} {ours:.0} ms > {bound:.0} ms")
        }));
    }
    missed
}

fn busy(reports: &BTreeMap<Policy, Report>) -> Vec<String> {
    let ours = &reports[&Policy::QuotesLaxity];
    let slowdown = ours.slowdown(0.95);
    let gain = reports[&Policy::RoundRobin].slowdown(0.95) / slowdown;
    let punctual = ours.long_in_time;
    let mut missed = miss(slowdown <= SLOWDOWN, || {
        format!("slowdown of short prompts {slowdown:.2} > {SLOWDOWN}")
    });
    missed.extend(miss(gain >= GAIN, || {
        format!("gain over round robin {gain:.1} < {GAIN}")
    }));
    missed.extend(miss(punctual >= PUNCTUAL, || {
        format!("long requests in time {punctual:.3} < {PUNCTUAL}")
    }));
    missed
}

fn miss(met: bool, text: impl FnOnce() -> String) -> Vec<String> {
    if met { Vec::new() } else { vec![text()] }
}
