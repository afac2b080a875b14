//! The settings files change, a bound is a fraction, and the machines are stopped and started in turn.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::case::Case;
use crate::case::Result;
use crate::case::Verdict;
use crate::case::ip;
use crate::entry::Entry;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-przelew","host":"kasa.example","prefix":"/przelew/","kind":"non_idempotent","timeout_ms":2000,"slo_ms":120,"priority":2,"service":"kasa","attempts":1,"public":false}],"services":[{"name":"kasa","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const LINE: &str = "POST /przelew/2f";
const OLD: &str = "revoke_ms = 5000";
const FRACTION: &str = "revoke_ms = 4500.5";
const WHOLE: &str = "revoke_ms = 4500";
/// `gap_s` of `roll_term`, and the grace period.
const GAP: Duration = Duration::from_millis(1_300);
const GRACE: Duration = Duration::from_secs(9);
/// The delay after which the platform starts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const OBSERVED: Duration = Duration::from_secs(12);
const POLL: Duration = Duration::from_millis(20);
/// The ends of its own that the rule lets a process have.
const MAX_ENDS: usize = 2;

pub fn play(folder: &Path) -> Result<Verdict> {
    let case = Case::start(folder, CONFIG)?;
    case.fleet.add("i-1", "kasa", &ip(20), "lub-a")?;
    thread::sleep(Duration::from_millis(500));
    let mut entries = Vec::new();
    for machine in [1, 2] {
        let node = format!("front-lub-a-{machine}");
        let entry = Entry::start(&node, &ip(1 + machine), "lub-a", case.store.addr)?;
        entry.wait_ready()?;
        entries.push(entry);
    }
    let bound = if case.has_trouble { FRACTION } else { WHOLE };
    for entry in &entries {
        entry.change_settings(OLD, bound)?;
    }
    case.record
        .write(&format!("platform: the settings files have {bound}"));
    thread::sleep(GAP);
    let mut ends = vec![0; entries.len()];
    for (entry, ends) in entries.iter_mut().zip(&mut ends) {
        case.record
            .write(&format!("platform: {} gets SIGTERM", entry.node));
        entry.terminate();
        let stopped = Instant::now();
        while entry.exit_code().is_none() && stopped.elapsed() < GRACE {
            thread::sleep(POLL);
        }
        thread::sleep(RESTART_DELAY);
        entry.restart()?;
        *ends += observe(&case, entry, GAP)?;
    }
    for (entry, ends) in entries.iter_mut().zip(&mut ends) {
        *ends += observe(&case, entry, OBSERVED / 2)?;
    }
    for entry in &entries {
        let status = case.send(entry.front, LINE, KEY, "after");
        case.record.write(&format!(
            "{} answers with {status}, is ready: {}",
            entry.node,
            entry.is_ready()
        ));
        entry.save_log(folder);
    }
    case.record.write(&format!(
        "ends of their own: {ends:?}, {MAX_ENDS} are allowed"
    ));
    let is_broken = ends.iter().all(|ends| *ends > MAX_ENDS);
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Starts a process again whenever it ends; returns how often it ended by itself within `span`.
fn observe(case: &Case, entry: &mut Entry, span: Duration) -> Result<usize> {
    let (start, mut ends) = (Instant::now(), 0);
    while start.elapsed() < span {
        thread::sleep(POLL);
        if let Some(code) = entry.exit_code() {
            case.record.write(&format!(
                "platform: {} has ended by itself with {code}",
                entry.node
            ));
            ends += 1;
            thread::sleep(RESTART_DELAY);
            entry.restart()?;
        }
    }
    Ok(ends)
}
