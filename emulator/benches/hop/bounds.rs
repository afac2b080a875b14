//! How much the hop may cost.

use std::process::ExitCode;

use crate::sample::Sample;

/// The target for a first token in milliseconds.
const TARGET: f64 = 920.0;
/// The part of the target that the hop may take at the median: 15 ms.
const MOST_SHARE: f64 = 15.0 / TARGET;
/// Up to so many callers the share is held; beyond, requests queue for the processors.
const MOST_CALLERS: u64 = 16;

/// The least requests a second through the hop, as a ratio to those without it.
const LEAST_RATE: f64 = 0.25;

/// Collects what is beyond its bound.
#[derive(Default)]
pub struct Bounds {
    broken: Vec<String>,
}

impl Bounds {
    /// Holds the added median against the target, and the throughput against the direct way's.
    pub fn check(&mut self, callers: u64, direct: &Sample, through: &Sample) {
        let share = (through.millis(0.5) - direct.millis(0.5)) / TARGET;
        if callers <= MOST_CALLERS && share > MOST_SHARE {
            let line =
                format!("callers {callers}: {share:.4} of the target, at most {MOST_SHARE:.4}");
            self.broken.push(line);
        }
        let rate = through.rate() / direct.rate();
        if rate < LEAST_RATE {
            let line =
                format!("callers {callers}: {rate:.2} of the direct rate, at least {LEAST_RATE}");
            self.broken.push(line);
        }
    }

    /// Prints what is broken; a failure if anything is.
    pub fn report(&self) -> ExitCode {
        if self.broken.is_empty() {
            println!(
                "within bounds: added p50 at most {MOST_SHARE:.4} of {TARGET} ms up to {MOST_CALLERS} callers"
            );
            println!("within bounds: requests/s at least {LEAST_RATE} of the direct way's");
            return ExitCode::SUCCESS;
        }
        for line in &self.broken {
            println!("beyond its bound: {line}");
        }
        ExitCode::FAILURE
    }
}
