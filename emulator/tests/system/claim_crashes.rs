//! Crashes and freezes during calls that must not run twice.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::answer::Answer;
use crate::desk::count_claims;
use crate::desk::executions;
use crate::desk::repeat;
use crate::desk::service_fleet;
use crate::desk::transfer;
use crate::desk::wait_until_idle;
use crate::fleet::Fleet;

/// Number of concurrent calls, each started later than the one before.
const CALLS: u64 = 8;
/// Interval between the starts of two calls.
const STAGGER: Duration = Duration::from_millis(150);

fn key(number: u64) -> String {
    format!("grant-{number}")
}

/// Starts calls through `e1` that are in different stages of a claim: with a slow store and a slow
/// service, some wait for the claim, some for the dispatch mark and some for the response.
fn start_calls(fleet: &Fleet) -> Vec<JoinHandle<Answer>> {
    fleet.set_faults("platform", r#"{"slow_ms": 300}"#);
    fleet.set_faults("s-service", r#"{"delay_ms": 500}"#);
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let caller = transfer(fleet, "e1", &key(number));
        calls.push(thread::spawn(move || caller.send()));
        thread::sleep(STAGGER);
    }
    calls
}

fn recover(fleet: &Fleet) {
    fleet.set_faults("platform", r#"{"slow_ms": 0}"#);
    wait_until_idle(fleet);
}

fn join(calls: Vec<JoinHandle<Answer>>) -> Vec<Answer> {
    let answers = calls.into_iter().map(JoinHandle::join);
    answers.map(|one| one.expect("the caller ends")).collect()
}

fn assert_consistent(fleet: &Fleet, number: u64, first: &Answer, last: &Answer) {
    let count = executions(fleet, &key(number));
    let context = format!("call {number} ran {count} times: {first:?} {last:?}");
    assert!(count <= 1, "{context}\n{}", fleet.logs());
    if first.status == 200 || last.status == 200 {
        assert_eq!(count, 1, "{context}\n{}", fleet.logs());
    }
    if first.ran() == "not_run" && last.ran() == "not_run" {
        assert_eq!(count, 0, "{context}\n{}", fleet.logs());
    }
    if last.status != 200 {
        assert_eq!(last.kind(), "outcome_unknown", "{context}");
    }
}

#[test]
fn an_entry_killed_at_any_stage_runs_each_call_at_most_once() {
    let mut fleet = service_fleet();
    let calls = start_calls(&fleet);

    fleet.kill("e1");

    let first_answers = join(calls);
    let last_answers: Vec<_> = (0..CALLS)
        .map(|number| repeat(&fleet, "e2", &key(number)))
        .collect();
    recover(&fleet);
    for (number, (first, last)) in (0..).zip(first_answers.iter().zip(&last_answers)) {
        assert_consistent(&fleet, number, first, last);
    }
}

#[test]
fn an_entry_resumed_after_the_repeats_runs_each_call_at_most_once() {
    let fleet = service_fleet();
    let calls = start_calls(&fleet);

    fleet.signal("e1", Signal::SIGSTOP);
    for number in 0..CALLS {
        transfer(&fleet, "e2", &key(number)).send();
    }
    fleet.signal("e1", Signal::SIGCONT);

    let first_answers = join(calls);
    let last_answers: Vec<_> = (0..CALLS)
        .map(|number| repeat(&fleet, "e2", &key(number)))
        .collect();
    recover(&fleet);
    for (number, (first, last)) in (0..).zip(first_answers.iter().zip(&last_answers)) {
        assert_consistent(&fleet, number, first, last);
    }
}

#[test]
fn an_agent_restarted_without_state_runs_nothing_twice() {
    let mut fleet = service_fleet();
    fleet.set_faults("s-service", r#"{"delay_ms": 1000}"#);
    let caller = transfer(&fleet, "e1", "grant-1");
    let call = thread::spawn(move || caller.send());
    fleet.wait_until("the call is marked", |fleet| {
        count_claims(fleet, "dispatched") == 1
    });

    fleet.kill("s-agent");
    fleet.restart("s-agent");
    fleet.wait_ready("s-admin");

    let first = call.join().expect("the caller ends");
    let last = repeat(&fleet, "e2", "grant-1");
    wait_until_idle(&fleet);
    assert_consistent(&fleet, 1, &first, &last);
    fleet.wait_until("the entry reaches the agent again", |fleet| {
        transfer(fleet, "e1", "grant-2").send().status == 200
    });
    assert_eq!(executions(&fleet, "grant-2"), 1);
}
