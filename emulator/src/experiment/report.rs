//! Figures of one run.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use jujubewind::refusal::Reason;
use jujubewind::types::MonoTime;
use jujubewind::types::OrgId;
use jujubewind::types::Tokens;

use super::Arrival;
use super::Outcome;
use super::links::ROUND_TRIP;
use super::number::float;
use super::number::index;
use super::number::whole;
use crate::engine::core::CostModel;

/// The length below which a prompt is short.
const SHORT: Tokens = Tokens(10_000);

/// The length from which a prompt is long.
const LONG: Tokens = Tokens(100_000);

/// Times to first token of the prompts of one decade of length, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Decade {
    /// Sorted; infinite for a request that got no token.
    times: Vec<f64>,
}

impl Decade {
    /// The value below which `part` of the times lie.
    #[must_use]
    pub fn percentile(&self, part: f64) -> f64 {
        percentile(&self.times, part)
    }

    /// The number of requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.times.len()
    }
}

/// What one run gave.
#[derive(Clone, Debug)]
pub struct Report {
    /// Times to first token by decade: 1k, 10k, 100k and 1M tokens.
    pub decades: [Decade; 4],
    /// Time to first token of short prompts over that of the same prompt alone; sorted.
    slowdowns: Vec<f64>,
    /// The part of all requests that ended in time.
    pub in_time: f64,
    /// The part of long requests that ended in time.
    pub long_in_time: f64,
    /// Engine-seconds a second of requests that ended in time.
    pub goodput: f64,
    /// Jain's index of the part of each organisation's work that ended in time.
    pub fairness: f64,
    /// The part of prompt tokens found in caches.
    pub cached: f64,
    /// The part of requests refused.
    pub refused: f64,
    /// Mean starts at agents for each request.
    pub attempts: f64,
    /// Failed requests by decade and reason.
    pub reasons: BTreeMap<(u64, Reason), u64>,
    /// Milliseconds from the arrival of a failed request to its final answer; sorted.
    waits: Vec<f64>,
    /// Points for a plot: prompt length and time to first token.
    pub points: Vec<(u64, f64)>,
}

impl Report {
    /// Sums up the requests that came from `from` on, over `span` seconds.
    #[must_use]
    pub fn new(arrivals: &[Arrival], outcomes: &[Outcome], from: MonoTime, span: f64) -> Self {
        let cost = CostModel::default();
        let pairs: Vec<(&Arrival, &Outcome)> = arrivals
            .iter()
            .zip(outcomes)
            .filter(|(arrival, _)| arrival.at >= from)
            .collect();
        let long: Vec<(&Arrival, &Outcome)> = filter(&pairs, |arrival| arrival.prompt >= LONG);
        let sum = |of: &dyn Fn(&Arrival, &Outcome) -> f64| -> f64 {
            pairs
                .iter()
                .map(|(arrival, outcome)| of(arrival, outcome))
                .sum()
        };
        let count = float(pairs.len() as u64).max(1.0);
        let useful = sum(&|arrival, outcome| gained(&cost, arrival, outcome));
        let prompt = sum(&|arrival, _| float(arrival.prompt.get()));
        let cached = sum(&|_, outcome| float(outcome.cached.get()));
        Self {
            decades: decades(&pairs),
            slowdowns: slowdowns(&pairs, &cost),
            in_time: share(&pairs),
            long_in_time: share(&long),
            goodput: useful / span,
            fairness: fairness(&pairs, &cost),
            cached: cached / prompt,
            refused: sum(&|_, outcome| f64::from(u8::from(outcome.refused.is_some()))) / count,
            attempts: sum(&|_, outcome| f64::from(outcome.attempts)) / count,
            reasons: reasons(&pairs),
            waits: waits(&pairs),
            points: pairs
                .iter()
                .map(|(arrival, outcome)| (arrival.prompt.get(), first(arrival, outcome)))
                .collect(),
        }
    }

    /// The slowdown of short prompts that `part` of them stay below.
    #[must_use]
    pub fn slowdown(&self, part: f64) -> f64 {
        percentile(&self.slowdowns, part)
    }

    /// The milliseconds within which `part` of the failed requests have their final answer; not a
    /// number if none failed.
    #[must_use]
    pub fn refusal(&self, part: f64) -> f64 {
        percentile(&self.waits, part)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (place, decade) in self.decades.iter().enumerate() {
            let unit = if place < 2 { 1.0 } else { 1_000.0 };
            write!(f, "| {:>5}", decade.count())?;
            for part in [0.5, 0.95, 0.99] {
                write!(f, " {:>6.0}", decade.percentile(part) / unit)?;
            }
        }
        for part in [0.5, 0.95, 0.99] {
            write!(
                f,
                " {} {:.2}",
                if part < 0.6 { "|" } else { "" },
                self.slowdown(part)
            )?;
        }
        write!(f, " | {:.3} {:.3}", self.in_time, self.long_in_time)?;
        write!(f, " | {:.2} | {:.3}", self.goodput, self.fairness)?;
        write!(f, " | {:.3} | {:.3}", self.cached, self.refused)?;
        write!(f, " | {:.2}", self.attempts)?;
        write!(f, " | {:.0} {:.0}", self.refusal(0.5), self.refusal(0.95))
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

fn waits(pairs: &[(&Arrival, &Outcome)]) -> Vec<f64> {
    let wait = |(arrival, outcome): &(&Arrival, &Outcome)| {
        let (at, _) = outcome.refused?;
        Some(float(at.micros() - arrival.at.micros()) / 1_000.0)
    };
    let mut waits: Vec<f64> = pairs.iter().filter_map(wait).collect();
    waits.sort_unstable_by(f64::total_cmp);
    waits
}

fn decades(pairs: &[(&Arrival, &Outcome)]) -> [Decade; 4] {
    let mut decades: [Decade; 4] = Default::default();
    for (arrival, outcome) in pairs {
        let place = arrival.prompt.get().max(1_000).ilog10().min(6) - 3;
        decades[place as usize].times.push(first(arrival, outcome));
    }
    for decade in &mut decades {
        decade.times.sort_unstable_by(f64::total_cmp);
    }
    decades
}

fn slowdowns(pairs: &[(&Arrival, &Outcome)], cost: &CostModel) -> Vec<f64> {
    let mut slowdowns: Vec<f64> = filter(pairs, |arrival| arrival.prompt < SHORT)
        .iter()
        .map(|(arrival, outcome)| first(arrival, outcome) / alone(cost, arrival, outcome))
        .collect();
    slowdowns.sort_unstable_by(f64::total_cmp);
    slowdowns
}

/// The time to first token on an idle fleet over the shortest link with the same cache hit, in
/// milliseconds.
fn alone(cost: &CostModel, arrival: &Arrival, outcome: &Outcome) -> f64 {
    let cached = outcome.cached.get();
    let work = cost.prefill(arrival.prompt.get() - cached, cached);
    let steps = (work / (float(cost.chunk.get()) * 1_000.0)).ceil();
    (work + steps * cost.base + float(ROUND_TRIP)) / 1_000.0
}

fn first(arrival: &Arrival, outcome: &Outcome) -> f64 {
    outcome.first_token.map_or(f64::INFINITY, |first| {
        float(first.micros() - arrival.at.micros()) / 1_000.0
    })
}

fn is_in_time(arrival: &Arrival, outcome: &Outcome) -> bool {
    let deadline = arrival.at.after(arrival.allowed);
    outcome.finished.is_some_and(|done| done <= deadline)
}

fn share(pairs: &[(&Arrival, &Outcome)]) -> f64 {
    let good = pairs
        .iter()
        .filter(|(arrival, outcome)| is_in_time(arrival, outcome));
    float(good.count() as u64) / float(pairs.len() as u64).max(1.0)
}

fn demand(cost: &CostModel, arrival: &Arrival) -> f64 {
    cost.prefill_alone(arrival.prompt.get()) / 1e6
}

fn gained(cost: &CostModel, arrival: &Arrival, outcome: &Outcome) -> f64 {
    if is_in_time(arrival, outcome) {
        demand(cost, arrival)
    } else {
        0.0
    }
}

fn fairness(pairs: &[(&Arrival, &Outcome)], cost: &CostModel) -> f64 {
    let mut orgs: BTreeMap<&OrgId, (f64, f64)> = BTreeMap::new();
    for (arrival, outcome) in pairs {
        let (asked, got) = orgs.entry(&arrival.org).or_default();
        *asked += demand(cost, arrival);
        *got += gained(cost, arrival, outcome);
    }
    let parts: Vec<f64> = orgs.values().map(|(asked, got)| got / asked).collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|part| part * part).sum();
    sum * sum / (float(parts.len() as u64) * squares).max(f64::MIN_POSITIVE)
}

fn percentile(sorted: &[f64], part: f64) -> f64 {
    let place = index(whole(part * float(sorted.len() as u64)));
    let last = sorted.len().checked_sub(1);
    last.map_or(f64::NAN, |last| sorted[place.min(last)])
}
