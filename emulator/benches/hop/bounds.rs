//! The bounds on the overhead of the proxied path.

use std::process::ExitCode;

use crate::sample::Sample;

/// The target for the time to first token.
const TARGET_MS: f64 = 920.0;
/// The most median overhead as a share of the target: 15 ms.
const MAX_SHARE: f64 = 15.0 / TARGET_MS;
/// The most callers for which the share is checked; with more, requests queue for the CPUs.
const MAX_CALLERS: u64 = 16;

/// The least throughput of the proxied path as a ratio to the direct path.
const MIN_RATE_RATIO: f64 = 0.25;

/// Collects the violated bounds.
#[derive(Default)]
pub struct Bounds {
    violations: Vec<String>,
}

impl Bounds {
    /// Checks the added median latency and the throughput of the proxied path.
    pub fn check(&mut self, callers: u64, direct: &Sample, proxied: &Sample) {
        let share = (proxied.quantile_millis(0.5) - direct.quantile_millis(0.5)) / TARGET_MS;
        if callers <= MAX_CALLERS && share > MAX_SHARE {
            let line =
                format!("callers {callers}: {share:.4} of the target, at most {MAX_SHARE:.4}");
            self.violations.push(line);
        }
        let ratio = proxied.requests_per_second() / direct.requests_per_second();
        if ratio < MIN_RATE_RATIO {
            let line = format!(
                "callers {callers}: {ratio:.2} of the direct rate, at least {MIN_RATE_RATIO}"
            );
            self.violations.push(line);
        }
    }

    /// Prints the violated bounds and returns a failure if there are any.
    pub fn report(&self) -> ExitCode {
        if self.violations.is_empty() {
            println!(
                "within bounds: added p50 at most {MAX_SHARE:.4} of {TARGET_MS} ms up to {MAX_CALLERS} callers"
            );
            println!("within bounds: requests/s at least {MIN_RATE_RATIO} of the direct path's");
            return ExitCode::SUCCESS;
        }
        for line in &self.violations {
            println!("out of bounds: {line}");
        }
        ExitCode::FAILURE
    }
}
