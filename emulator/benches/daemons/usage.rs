//! CPU time and memory of processes, read from `/proc`.

use std::fs;
use std::time::Duration;

use crate::fleet::Fleet;

/// The mean resource usage of several processes.
pub struct Usage {
    /// CPU time since their start, in microseconds.
    pub cpu_micros: f64,
    /// Resident memory in KiB.
    pub memory_kib: f64,
}

impl Usage {
    /// Measures the processes `names`.
    pub fn measure(fleet: &Fleet, names: &[String]) -> Self {
        let pids: Vec<u32> = names.iter().map(|name| fleet.pid(name)).collect();
        Self {
            cpu_micros: mean(&pids, cpu_micros),
            memory_kib: mean(&pids, memory_kib),
        }
    }

    /// Returns the CPU time per second since an earlier measurement, in microseconds.
    pub fn cpu_rate(&self, earlier: &Self, elapsed: Duration) -> f64 {
        (self.cpu_micros - earlier.cpu_micros) / elapsed.as_secs_f64()
    }
}

fn mean(pids: &[u32], measure: fn(u32) -> f64) -> f64 {
    let count = f64::from(u32::try_from(pids.len()).unwrap_or(u32::MAX));
    pids.iter().map(|pid| measure(*pid)).sum::<f64>() / count
}

/// Returns the CPU time of all live threads.
fn cpu_micros(pid: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten();
    let nanos = tasks.flatten().filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    });
    nanos.sum::<f64>() / 1_000.0
}

/// Returns the resident memory; NaN if it cannot be read.
fn memory_kib(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    field
        .and_then(|field| field.parse().ok())
        .unwrap_or(f64::NAN)
}
