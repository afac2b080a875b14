//! Latency and throughput of one request path at one concurrency level.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::path::OUTPUT_TOKENS;

/// The highest recordable time; longer ones are clamped.
const MAX_MICROS: u64 = 60_000_000;
/// The precision of the histogram in significant digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency and throughput of one request path at one concurrency level.
pub struct Sample {
    /// Times to first token, in microseconds.
    times: Histogram<u64>,
    /// The total duration of the rounds.
    elapsed: Duration,
}

impl Default for Sample {
    fn default() -> Self {
        Self {
            times: Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid"),
            elapsed: Duration::ZERO,
        }
    }
}

impl Sample {
    /// Adds one round: its duration and its times to first token.
    pub fn add(&mut self, elapsed: Duration, times: impl Iterator<Item = Duration>) {
        self.elapsed += elapsed;
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            self.times.saturating_record(micros);
        }
    }

    /// Returns a quantile of the time to first token in milliseconds.
    pub fn quantile_millis(&self, quantile: f64) -> f64 {
        Duration::from_micros(self.times.value_at_quantile(quantile)).as_secs_f64() * 1_000.0
    }

    /// Returns the completed requests per second.
    pub fn requests_per_second(&self) -> f64 {
        let count = u32::try_from(self.times.len()).unwrap_or(u32::MAX);
        f64::from(count) / self.elapsed.as_secs_f64()
    }

    /// Prints the header of the table.
    pub fn print_header() {
        println!("| callers | path | p50 ms | p95 ms | p99 ms | requests/s | tokens/s |");
        println!("|---:|---|---:|---:|---:|---:|---:|");
    }

    /// Prints the sample as a row of the table.
    pub fn print(&self, callers: u64, name: &str) {
        let tokens = self.requests_per_second()
            * f64::from(u32::try_from(OUTPUT_TOKENS).unwrap_or(u32::MAX));
        println!(
            "| {callers} | {name} | {:.2} | {:.2} | {:.2} | {:.0} | {tokens:.0} |",
            self.quantile_millis(0.50),
            self.quantile_millis(0.95),
            self.quantile_millis(0.99),
            self.requests_per_second(),
        );
    }

    /// Prints the increase of the quantiles from this sample to `proxied`.
    pub fn print_added(&self, callers: u64, proxied: &Self) {
        let added = |quantile| proxied.quantile_millis(quantile) - self.quantile_millis(quantile);
        println!(
            "| {callers} | added | {:.2} | {:.2} | {:.2} | | |",
            added(0.50),
            added(0.95),
            added(0.99),
        );
    }
}
