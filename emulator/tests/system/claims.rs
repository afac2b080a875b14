//! Calls that must not run twice, checked against the executions that the service counts.

use std::thread;
use std::thread::JoinHandle;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::answer::Answer;
use crate::desk::executions;
use crate::desk::repeat;
use crate::desk::service_fleet;
use crate::desk::transfer;
use crate::desk::wait_until_idle;
use crate::fleet::Fleet;

/// Idempotency key of the calls.
const KEY: &str = "rent-2026-12";

/// Starts a transfer that the service delays, and waits until the agent has it.
fn start_transfer(fleet: &Fleet) -> JoinHandle<Answer> {
    fleet.set_faults("s-service", r#"{"delay_ms": 1500}"#);
    let caller = transfer(fleet, "e1", KEY);
    let call = thread::spawn(move || caller.send());
    fleet.wait_until("the agent has the call", |fleet| {
        fleet.get("s-admin", "/status")["attempts"] == 1
    });
    call
}

#[test]
fn a_repeat_returns_the_first_answer() {
    let fleet = service_fleet();

    let first = transfer(&fleet, "e1", KEY).send();
    let second = repeat(&fleet, "e2", KEY);

    assert_eq!((first.status, first.replayed), (200, false));
    assert_eq!((second.status, second.replayed), (200, true));
    assert_eq!(first.body, second.body);
    assert_eq!(executions(&fleet, KEY), 1);
}

#[test]
fn another_body_under_the_key_is_refused() {
    let fleet = service_fleet();
    let body = json!({ "amount": 6 });
    let other = transfer(&fleet, "e2", KEY).call("transfers", &body);

    let first = transfer(&fleet, "e1", KEY).send();
    let second = other.send();

    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(
        (second.status, second.kind().as_str()),
        (422, "key_mismatch")
    );
    assert_eq!(second.ran(), "not_run");
    assert_eq!(executions(&fleet, KEY), 1);
}

#[test]
fn a_call_without_a_key_is_refused() {
    let fleet = service_fleet();
    let caller = fleet
        .caller("e1")
        .call("transfers", &json!({ "amount": 5 }));

    let answer = caller.send();

    assert_eq!(
        (answer.status, answer.kind().as_str()),
        (400, "key_required")
    );
    assert_eq!(executions(&fleet, ""), 0);
}

#[test]
fn the_same_key_through_two_entries_at_once_runs_once() {
    let fleet = service_fleet();
    fleet.set_faults("s-service", r#"{"delay_ms": 500}"#);
    let entries = ["e1", "e2"].repeat(4);
    let callers = entries.iter().map(|entry| transfer(&fleet, entry, KEY));

    let calls: Vec<_> = callers
        .map(|caller| thread::spawn(move || caller.send()))
        .collect();
    let answers: Vec<_> = calls
        .into_iter()
        .map(|call| call.join().expect("the caller ends"))
        .collect();
    let last = repeat(&fleet, "e2", KEY);

    wait_until_idle(&fleet);
    assert_eq!(executions(&fleet, KEY), 1);
    let fresh = answers
        .iter()
        .filter(|one| one.status == 200 && !one.replayed);
    assert_eq!(fresh.count(), 1, "{answers:?}");
    let others = answers.iter().filter(|one| one.status != 200);
    for other in others {
        assert_eq!(
            (other.kind().as_str(), other.ran().as_str()),
            ("key_busy", "not_run")
        );
    }
    assert_eq!((last.status, last.replayed), (200, true));
}

#[test]
fn a_lost_answer_of_the_service_is_reported_as_unknown() {
    let fleet = service_fleet();
    fleet.set_faults("s-service", r#"{"lose_answers": true}"#);

    let first = transfer(&fleet, "e1", KEY).send();
    fleet.set_faults("s-service", r#"{"lose_answers": false}"#);
    let second = repeat(&fleet, "e2", KEY);

    for answer in [first, second] {
        assert_eq!(
            (answer.status, answer.kind().as_str()),
            (502, "outcome_unknown")
        );
        assert_eq!(answer.ran(), "unknown");
    }
    assert_eq!(executions(&fleet, KEY), 1);
}

#[test]
fn a_key_released_after_not_run_can_be_used_again() {
    let mut fleet = service_fleet();
    fleet.kill("s-service");

    let first = transfer(&fleet, "e1", KEY).send();
    fleet.restart("s-service");
    fleet.wait_until("the service listens", |fleet| {
        fleet.get("s-service", "/counts").is_object()
    });
    let second = repeat(&fleet, "e2", KEY);

    assert_eq!((first.status, first.kind().as_str()), (503, "backend_down"));
    assert_eq!(first.ran(), "not_run");
    assert_eq!(
        (second.status, second.replayed),
        (200, false),
        "{}",
        second.body
    );
    assert_eq!(executions(&fleet, KEY), 1);
}

#[test]
fn a_store_that_is_down_refuses_and_runs_nothing() {
    let fleet = service_fleet();
    fleet.set_faults("platform", r#"{"down": true}"#);

    let first = transfer(&fleet, "e1", KEY).send();
    let before = executions(&fleet, KEY);
    fleet.set_faults("platform", r#"{"down": false}"#);
    let second = repeat(&fleet, "e1", KEY);

    assert_eq!((first.status, first.kind().as_str()), (503, "store_down"));
    assert_eq!(first.ran(), "not_run");
    assert!(first.retry_after.is_some());
    assert_eq!(before, 0);
    assert_eq!(second.status, 200, "{}", second.body);
    assert_eq!(executions(&fleet, KEY), 1);
}

#[test]
fn a_call_runs_once_if_the_store_loses_its_answers() {
    let fleet = service_fleet();
    fleet.set_faults("platform", r#"{"lose_answers": true}"#);

    let first = transfer(&fleet, "e1", KEY).send();
    let second = repeat(&fleet, "e2", KEY);

    assert_eq!(
        (first.status, first.replayed),
        (200, false),
        "{}",
        first.body
    );
    assert_eq!(
        (second.status, second.replayed),
        (200, true),
        "{}",
        second.body
    );
    assert_eq!(executions(&fleet, KEY), 1);
}

#[test]
fn a_call_runs_once_with_a_slow_store() {
    let fleet = service_fleet();
    fleet.set_faults("platform", r#"{"slow_ms": 200}"#);

    let first = transfer(&fleet, "e1", KEY).send();
    let second = repeat(&fleet, "e2", KEY);

    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(
        (second.status, second.replayed),
        (200, true),
        "{}",
        second.body
    );
    assert_eq!(executions(&fleet, KEY), 1);
}

#[test]
fn a_planned_stop_of_entry_and_agent_interrupts_no_call() {
    let mut fleet = service_fleet();
    let call = start_transfer(&fleet);

    fleet.signal("e1", Signal::SIGTERM);
    fleet.signal("s-agent", Signal::SIGTERM);

    let answer = call.join().expect("the caller ends");
    assert_eq!(answer.status, 200, "{}\n{}", answer.body, fleet.logs());
    assert!(fleet.wait("e1"), "the entry ends by itself");
    assert!(fleet.wait("s-agent"), "the agent ends by itself");
    let second = repeat(&fleet, "e2", KEY);
    assert_eq!((second.status, second.replayed), (200, true));
    assert_eq!(executions(&fleet, KEY), 1);
}
