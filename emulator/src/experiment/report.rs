//! The metrics of one run.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use jujubewind::refusal::Reason;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;

use super::Arrival;
use super::Outcome;
use super::convert::to_f64;
use super::convert::to_u64;
use super::convert::to_usize;
use super::links::MIN_ROUND_TRIP_MICROS;
use crate::engine::core::CostModel;

/// The length below which a prompt is short.
const SHORT_PROMPT: Tokens = Tokens(10_000);

/// The length from which a prompt is long.
const LONG_PROMPT: Tokens = Tokens(100_000);

/// Times to first token of the prompts of one decade of length, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Decade {
    /// Sorted; infinite for a request that got no token.
    times: Vec<f64>,
}

impl Decade {
    /// Returns a quantile of the times.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        value_at_quantile(&self.times, quantile)
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.times.len()
    }
}

/// The metrics of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Times to first token by decade: 1k, 10k, 100k and 1M tokens.
    pub decades: [Decade; 4],
    /// Ratios of the time to first token of short prompts to that on an idle fleet; sorted.
    slowdowns: Vec<f64>,
    /// The share of all requests that finished before their deadlines.
    pub in_time: f64,
    /// The share of long requests that finished before their deadlines.
    pub long_in_time: f64,
    /// Engine-seconds per second spent on requests that finished before their deadlines.
    pub goodput: f64,
    /// Jain's fairness index of the share of each organisation's work that finished in time.
    pub fairness: f64,
    /// The share of prompt tokens found in caches.
    pub cached: f64,
    /// The share of requests that were refused.
    pub refused: f64,
    /// The mean number of attempts per request.
    pub attempts: f64,
    /// Failed requests by decade and reason.
    pub reasons: BTreeMap<(u64, Reason), u64>,
    /// Milliseconds from the arrival of a failed request to its final answer; sorted.
    refusal_latencies: Vec<f64>,
    /// Prompt length and time to first token of each request, for plots.
    pub points: Vec<(u64, f64)>,
}

impl Report {
    /// Summarises the requests that were sent from `from` on, over `span` seconds.
    #[must_use]
    pub fn new(arrivals: &[Arrival], outcomes: &[Outcome], from: MonoTime, span: f64) -> Self {
        let cost = CostModel::default();
        let pairs: Vec<(&Arrival, &Outcome)> = arrivals
            .iter()
            .zip(outcomes)
            .filter(|(arrival, _)| arrival.at >= from)
            .collect();
        let long: Vec<(&Arrival, &Outcome)> =
            filter(&pairs, |arrival| arrival.prompt >= LONG_PROMPT);
        let sum = |value: &dyn Fn(&Arrival, &Outcome) -> f64| -> f64 {
            pairs
                .iter()
                .map(|(arrival, outcome)| value(arrival, outcome))
                .sum()
        };
        let count = to_f64(pairs.len() as u64).max(1.0);
        let useful = sum(&|arrival, outcome| useful_work(&cost, arrival, outcome));
        let prompt = sum(&|arrival, _| to_f64(arrival.prompt.get()));
        let cached = sum(&|_, outcome| to_f64(outcome.cached.get()));
        Self {
            decades: decades(&pairs),
            slowdowns: slowdowns(&pairs, &cost),
            in_time: share_in_time(&pairs),
            long_in_time: share_in_time(&long),
            goodput: useful / span,
            fairness: fairness(&pairs, &cost),
            cached: cached / prompt,
            refused: sum(&|_, outcome| f64::from(u8::from(outcome.refused.is_some()))) / count,
            attempts: sum(&|_, outcome| f64::from(outcome.attempts)) / count,
            reasons: reasons(&pairs),
            refusal_latencies: refusal_latencies(&pairs),
            points: pairs
                .iter()
                .map(|(arrival, outcome)| (arrival.prompt.get(), first_token_ms(arrival, outcome)))
                .collect(),
        }
    }

    /// Returns a quantile of the slowdown of short prompts.
    #[must_use]
    pub fn slowdown_quantile(&self, quantile: f64) -> f64 {
        value_at_quantile(&self.slowdowns, quantile)
    }

    /// Returns a quantile of the time to the final answer of failed requests, in milliseconds; NaN
    /// if none failed.
    #[must_use]
    pub fn refusal_latency(&self, quantile: f64) -> f64 {
        value_at_quantile(&self.refusal_latencies, quantile)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, decade) in self.decades.iter().enumerate() {
            let unit = if index < 2 { 1.0 } else { 1_000.0 };
            write!(f, "| {:>5}", decade.count())?;
            for quantile in [0.5, 0.95, 0.99] {
                write!(f, " {:>6.0}", decade.quantile(quantile) / unit)?;
            }
        }
        for quantile in [0.5, 0.95, 0.99] {
            write!(
                f,
                " {} {:.2}",
                if quantile < 0.6 { "|" } else { "" },
                self.slowdown_quantile(quantile)
            )?;
        }
        write!(f, " | {:.3} {:.3}", self.in_time, self.long_in_time)?;
        write!(f, " | {:.2} | {:.3}", self.goodput, self.fairness)?;
        write!(f, " | {:.3} | {:.3}", self.cached, self.refused)?;
        write!(f, " | {:.2}", self.attempts)?;
        write!(
            f,
            " | {:.0} {:.0}",
            self.refusal_latency(0.5),
            self.refusal_latency(0.95)
        )
    }
}

fn filter<'a>(
    pairs: &[(&'a Arrival, &'a Outcome)],
    keep: impl Fn(&Arrival) -> bool,
) -> Vec<(&'a Arrival, &'a Outcome)> {
    let kept = pairs.iter().filter(|(arrival, _)| keep(arrival));
    kept.copied().collect()
}

fn reasons(pairs: &[(&Arrival, &Outcome)]) -> BTreeMap<(u64, Reason), u64> {
    let mut reasons = BTreeMap::new();
    for (arrival, outcome) in pairs {
        if let Some((_, reason)) = outcome.refused {
            let decade = 10_u64.pow(arrival.prompt.get().max(1).ilog10());
            *reasons.entry((decade, reason)).or_default() += 1;
        }
    }
    reasons
}

fn refusal_latencies(pairs: &[(&Arrival, &Outcome)]) -> Vec<f64> {
    let latency = |(arrival, outcome): &(&Arrival, &Outcome)| {
        let (at, _) = outcome.refused?;
        Some(to_f64(at.micros() - arrival.at.micros()) / 1_000.0)
    };
    let mut latencies: Vec<f64> = pairs.iter().filter_map(latency).collect();
    latencies.sort_unstable_by(f64::total_cmp);
    latencies
}

fn decades(pairs: &[(&Arrival, &Outcome)]) -> [Decade; 4] {
    let mut decades: [Decade; 4] = Default::default();
    for (arrival, outcome) in pairs {
        let decade = arrival.prompt.get().max(1_000).ilog10().min(6) - 3;
        decades[decade as usize]
            .times
            .push(first_token_ms(arrival, outcome));
    }
    for decade in &mut decades {
        decade.times.sort_unstable_by(f64::total_cmp);
    }
    decades
}

fn slowdowns(pairs: &[(&Arrival, &Outcome)], cost: &CostModel) -> Vec<f64> {
    let mut slowdowns: Vec<f64> = filter(pairs, |arrival| arrival.prompt < SHORT_PROMPT)
        .iter()
        .map(|(arrival, outcome)| {
            first_token_ms(arrival, outcome) / idle_first_token_ms(cost, arrival, outcome)
        })
        .collect();
    slowdowns.sort_unstable_by(f64::total_cmp);
    slowdowns
}

/// Returns the time to first token on an idle fleet over the shortest link with the same cache hit,
/// in milliseconds.
fn idle_first_token_ms(cost: &CostModel, arrival: &Arrival, outcome: &Outcome) -> f64 {
    let cached = outcome.cached.get();
    let work = cost.prefill(arrival.prompt.get() - cached, cached);
    let steps = (work / (to_f64(cost.chunk.get()) * 1_000.0)).ceil();
    (work + steps * cost.base + to_f64(MIN_ROUND_TRIP_MICROS)) / 1_000.0
}

/// Returns the time to first token in milliseconds; infinite if there was none.
fn first_token_ms(arrival: &Arrival, outcome: &Outcome) -> f64 {
    outcome.first_token.map_or(f64::INFINITY, |first| {
        to_f64(first.micros() - arrival.at.micros()) / 1_000.0
    })
}

fn is_in_time(arrival: &Arrival, outcome: &Outcome) -> bool {
    let deadline = arrival.at.after(arrival.timeout);
    outcome
        .finished
        .is_some_and(|finished| finished <= deadline)
}

fn share_in_time(pairs: &[(&Arrival, &Outcome)]) -> f64 {
    let in_time = pairs
        .iter()
        .filter(|(arrival, outcome)| is_in_time(arrival, outcome));
    to_f64(in_time.count() as u64) / to_f64(pairs.len() as u64).max(1.0)
}

/// Returns the engine-seconds that a request's prefill takes.
fn demand(cost: &CostModel, arrival: &Arrival) -> f64 {
    cost.prefill_alone(arrival.prompt.get()) / 1e6
}

/// Returns the engine-seconds of a request that finished in time, otherwise zero.
fn useful_work(cost: &CostModel, arrival: &Arrival, outcome: &Outcome) -> f64 {
    if is_in_time(arrival, outcome) {
        demand(cost, arrival)
    } else {
        0.0
    }
}

fn fairness(pairs: &[(&Arrival, &Outcome)], cost: &CostModel) -> f64 {
    let mut orgs: BTreeMap<&OrgId, (f64, f64)> = BTreeMap::new();
    for (arrival, outcome) in pairs {
        let (demanded, served) = orgs.entry(&arrival.org).or_default();
        *demanded += demand(cost, arrival);
        *served += useful_work(cost, arrival, outcome);
    }
    let shares: Vec<f64> = orgs
        .values()
        .map(|(demanded, served)| served / demanded)
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (to_f64(shares.len() as u64) * squares).max(f64::MIN_POSITIVE)
}

fn value_at_quantile(sorted: &[f64], quantile: f64) -> f64 {
    let position = to_usize(to_u64(quantile * to_f64(sorted.len() as u64)));
    let last = sorted.len().checked_sub(1);
    last.map_or(f64::NAN, |last| sorted[position.min(last)])
}
