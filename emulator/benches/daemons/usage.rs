//! Processor time and memory of processes, as the kernel counts them.

use std::fs;
use std::time::Duration;

use crate::fleet::Fleet;

/// The mean of several processes.
pub struct Usage {
    /// Microseconds of processor since their start.
    pub processor: f64,
    /// KiB of resident memory.
    pub memory: f64,
}

impl Usage {
    /// Looks at the processes `names`.
    pub fn mean(fleet: &Fleet, names: &[String]) -> Self {
        let pids: Vec<u32> = names.iter().map(|name| fleet.pid(name)).collect();
        Self {
            processor: mean(&pids, processor),
            memory: mean(&pids, memory),
        }
    }

    /// Microseconds of processor a second since an earlier look.
    pub fn rate(&self, earlier: &Self, span: Duration) -> f64 {
        (self.processor - earlier.processor) / span.as_secs_f64()
    }
}

fn mean(pids: &[u32], measure: fn(u32) -> f64) -> f64 {
    let count = f64::from(u32::try_from(pids.len()).unwrap_or(u32::MAX));
    pids.iter().map(|pid| measure(*pid)).sum::<f64>() / count
}

/// Microseconds that all threads have run.
fn processor(pid: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten();
    let nanos = tasks.flatten().filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    });
    nanos.sum::<f64>() / 1_000.0
}

fn memory(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    field
        .and_then(|field| field.parse().ok())
        .unwrap_or(f64::NAN)
}
