//! Results of a load run: latency by prompt length and failures by kind.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use hdrhistogram::Histogram;
use jujubewind::types::Tokens;

use super::Failure;
use super::Outcome;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;
/// Largest recorded time; longer times are clamped to it.
const MAX_MICROS: u64 = 3_600_000_000;

/// Results of a load run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Microseconds to the first token of correct answers, by decade of the prompt length.
    times: BTreeMap<u32, Histogram<u64>>,
    failures: BTreeMap<Failure, u64>,
    /// Number of requests whose task ended without an outcome.
    pub lost: u64,
}

impl Report {
    /// Adds one outcome.
    pub fn add(&mut self, outcome: &Outcome) {
        if let Some(failure) = &outcome.failure {
            *self.failures.entry(failure.clone()).or_default() += 1;
            return;
        }
        let decade = decade(outcome.length);
        let times = self.times.entry(decade).or_insert_with(histogram);
        times.saturating_record(outcome.first_token.unwrap_or(outcome.total));
    }

    /// Adds the results of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (decade, times) in &other.times {
            *self.times.entry(*decade).or_insert_with(histogram) += times;
        }
        for (failure, count) in &other.failures {
            *self.failures.entry(failure.clone()).or_default() += count;
        }
        self.lost += other.lost;
    }

    /// Number of complete and correct answers.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.times.values().map(Histogram::len).sum()
    }

    /// Number of failed or lost requests.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.failures.values().sum::<u64>() + self.lost
    }

    /// Number of incomplete or incorrect answers.
    #[must_use]
    pub fn bad_answers(&self) -> u64 {
        let count = |failure| self.failures.get(&failure).copied().unwrap_or(0);
        count(Failure::Wrong) + count(Failure::Broken)
    }

    /// Number of failures by kind.
    pub fn failures(&self) -> impl Iterator<Item = (&Failure, u64)> {
        self.failures
            .iter()
            .map(|(failure, count)| (failure, *count))
    }

    /// Quantile of the time to the first token in microseconds for a decade of prompt lengths.
    #[must_use]
    pub fn first_token(&self, decade: u32, quantile: f64) -> Option<u64> {
        let times = self.times.get(&decade)?;
        Some(times.value_at_quantile(quantile))
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{:>19} {:>8} {:>10} {:>10} {:>10}",
            "prompt tokens", "answers", "p50 ms", "p95 ms", "p99 ms"
        )?;
        for (decade, times) in &self.times {
            let range = format!("{}..{}", 10_u64.pow(*decade), 10_u64.pow(decade + 1));
            write!(f, "{range:>19} {:>8}", times.len())?;
            for quantile in [0.50, 0.95, 0.99] {
                write!(f, " {:>10}", millis(times.value_at_quantile(quantile)))?;
            }
            writeln!(f)?;
        }
        writeln!(f, "served {} failed {}", self.served(), self.failed())?;
        for (failure, count) in self.failures() {
            writeln!(f, "failed kind={} count={count}", failure.as_str())?;
        }
        if self.lost > 0 {
            writeln!(f, "failed kind=lost_task count={}", self.lost)?;
        }
        Ok(())
    }
}

fn decade(length: Tokens) -> u32 {
    length.get().checked_ilog10().unwrap_or(0)
}

fn histogram() -> Histogram<u64> {
    // The constants are within the bounds that the library accepts.
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the bounds are valid")
}

fn millis(micros: u64) -> String {
    format!("{}.{}", micros / 1_000, micros % 1_000 / 100)
}
