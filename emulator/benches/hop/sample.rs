//! The times of one way at one number of callers.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::path::OUTPUT;

/// The longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Significant digits of the times.
const DIGITS: u8 = 3;

/// The times of one way at one number of callers.
pub struct Sample {
    times: Histogram<u64>,
    span: Duration,
}

impl Default for Sample {
    fn default() -> Self {
        Self {
            times: Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the bounds are valid"),
            span: Duration::ZERO,
        }
    }
}

impl Sample {
    /// Adds the times to the first token of one round.
    pub fn add(&mut self, span: Duration, times: impl Iterator<Item = Duration>) {
        self.span += span;
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            self.times.saturating_record(micros);
        }
    }

    /// A quantile of the time to the first token in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        Duration::from_micros(self.times.value_at_quantile(quantile)).as_secs_f64() * 1_000.0
    }

    /// Whole requests a second.
    pub fn rate(&self) -> f64 {
        let count = u32::try_from(self.times.len()).unwrap_or(u32::MAX);
        f64::from(count) / self.span.as_secs_f64()
    }

    /// Prints the names of the columns.
    pub fn print_header() {
        println!("| callers | way | p50 ms | p95 ms | p99 ms | requests/s | tokens/s |");
        println!("|---:|---|---:|---:|---:|---:|---:|");
    }

    /// Prints the sample as a line.
    pub fn print(&self, callers: u64, name: &str) {
        let tokens = self.rate() * f64::from(u32::try_from(OUTPUT).unwrap_or(u32::MAX));
        println!(
            "| {callers} | {name} | {:.2} | {:.2} | {:.2} | {:.0} | {tokens:.0} |",
            self.millis(0.50),
            self.millis(0.95),
            self.millis(0.99),
            self.rate(),
        );
    }

    /// Prints by how much the quantiles of `through` are later.
    pub fn print_added(&self, callers: u64, through: &Self) {
        let added = |quantile| through.millis(quantile) - self.millis(quantile);
        println!(
            "| {callers} | added | {:.2} | {:.2} | {:.2} | | |",
            added(0.50),
            added(0.95),
            added(0.99),
        );
    }
}
