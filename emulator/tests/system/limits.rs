//! A plain service that limits its requests.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::desk::service_fleet;
use crate::fleet::Fleet;

/// How long callers send.
const SPAN: Duration = Duration::from_secs(9);
/// The pause between two calls.
const PAUSE: Duration = Duration::from_millis(20);
/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long the service has to name its limit before it binds.
const STABLE: Duration = Duration::from_secs(3);
/// The requests in a window at one a second: one and a half times that, and five.
const ALLOWED: u64 = 11;

/// The calls that the service has run.
fn executed(fleet: &Fleet) -> u64 {
    let counts = fleet.get("s-service", "/counts");
    let executions = counts["executions"].as_object().cloned();
    let executions = executions.unwrap_or_default();
    executions
        .values()
        .filter_map(serde_json::Value::as_u64)
        .sum()
}

#[test]
fn a_service_runs_no_more_calls_than_the_limit_that_it_named() {
    let fleet = service_fleet();
    fleet.set_faults("s-service", r#"{"limit_milli": 1000}"#);
    let (started, mut samples, mut refused) = (Instant::now(), Vec::new(), 0);

    while started.elapsed() < SPAN {
        for entry in ["e1", "e2"] {
            let caller = fleet.caller(entry);
            let answer = caller.call("balances", &json!({ "account": 7 })).send();
            refused += u64::from(answer.status != 200);
        }
        samples.push((started.elapsed(), executed(&fleet)));
        std::thread::sleep(PAUSE);
    }

    for (end, count) in samples.iter().filter(|(end, _)| *end >= STABLE) {
        let before = samples.iter().filter(|(time, _)| *time + WINDOW <= *end);
        let before = before.map(|(_, count)| *count).max().unwrap_or_default();
        assert!(
            count - before <= ALLOWED,
            "{} calls by {end:?}",
            count - before
        );
    }
    assert!(refused > 0, "more calls were sent than the service takes");
}
