//! CPU time of this thread and memory of this process, read from `/proc`.

use std::fs;

/// Returns the CPU time of this thread.
pub fn cpu_nanos() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let field = text.split_whitespace().next();
    field
        .and_then(|field| field.parse().ok())
        .unwrap_or(f64::NAN)
}

/// Returns the resident memory of this process.
pub fn memory_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    field
        .and_then(|field| field.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        * 1_024.0
}
