//! Kills and freezes in the middle of calls that may not be repeated.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::answer::Answer;
use crate::desk::claims_in;
use crate::desk::desk;
use crate::desk::executions;
use crate::desk::repeat;
use crate::desk::settle;
use crate::desk::transfer;
use crate::fleet::Fleet;

/// The calls that are under way at once, each a little further than the next.
const CALLS: u64 = 8;
/// The time between the beginnings of two calls.
const STAGGER: Duration = Duration::from_millis(150);

fn key(number: u64) -> String {
    format!("grant-{number}")
}

/// Begins calls through `e1` that are spread over all stages of a claim: with the store and the
/// service slow, some wait for their claim, some for their mark and some for their answer.
fn spread(fleet: &Fleet) -> Vec<JoinHandle<Answer>> {
    fleet.faults("platform", r#"{"slow_ms": 300}"#);
    fleet.faults("s-service", r#"{"delay_ms": 500}"#);
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let caller = transfer(fleet, "e1", &key(number));
        calls.push(thread::spawn(move || caller.send()));
        thread::sleep(STAGGER);
    }
    calls
}

fn calm(fleet: &Fleet) {
    fleet.faults("platform", r#"{"slow_ms": 0}"#);
    settle(fleet);
}

fn join(calls: Vec<JoinHandle<Answer>>) -> Vec<Answer> {
    let answers = calls.into_iter().map(JoinHandle::join);
    answers.map(|one| one.expect("the caller ends")).collect()
}

fn assert_ran_as_told(fleet: &Fleet, number: u64, first: &Answer, last: &Answer) {
    let count = executions(fleet, &key(number));
    let told = format!("call {number} ran {count} times: {first:?} {last:?}");
    assert!(count <= 1, "{told}\n{}", fleet.logs());
    if first.status == 200 || last.status == 200 {
        assert_eq!(count, 1, "{told}\n{}", fleet.logs());
    }
    if first.ran() == "not_run" && last.ran() == "not_run" {
        assert_eq!(count, 0, "{told}\n{}", fleet.logs());
    }
    if last.status != 200 {
        assert_eq!(last.kind(), "outcome_unknown", "{told}");
    }
}

#[test]
fn an_entry_killed_at_any_moment_leaves_at_most_one_run() {
    let mut fleet = desk();
    let calls = spread(&fleet);

    fleet.kill("e1");

    let firsts = join(calls);
    let lasts: Vec<_> = (0..CALLS)
        .map(|number| repeat(&fleet, "e2", &key(number)))
        .collect();
    calm(&fleet);
    for (number, (first, last)) in (0..).zip(firsts.iter().zip(&lasts)) {
        assert_ran_as_told(&fleet, number, first, last);
    }
}

#[test]
fn an_entry_woken_after_the_repeats_leaves_at_most_one_run() {
    let fleet = desk();
    let calls = spread(&fleet);

    fleet.signal("e1", Signal::SIGSTOP);
    for number in 0..CALLS {
        transfer(&fleet, "e2", &key(number)).send();
    }
    fleet.signal("e1", Signal::SIGCONT);

    let firsts = join(calls);
    let lasts: Vec<_> = (0..CALLS)
        .map(|number| repeat(&fleet, "e2", &key(number)))
        .collect();
    calm(&fleet);
    for (number, (first, last)) in (0..).zip(firsts.iter().zip(&lasts)) {
        assert_ran_as_told(&fleet, number, first, last);
    }
}

#[test]
fn an_agent_restarted_with_an_empty_memory_runs_nothing_twice() {
    let mut fleet = desk();
    fleet.faults("s-service", r#"{"delay_ms": 1000}"#);
    let caller = transfer(&fleet, "e1", "grant-1");
    let call = thread::spawn(move || caller.send());
    fleet.wait_until("the call is marked", |fleet| {
        claims_in(fleet, "dispatched") == 1
    });

    fleet.kill("s-agent");
    fleet.restart("s-agent");
    fleet.wait_ready("s-admin");

    let first = call.join().expect("the caller ends");
    let last = repeat(&fleet, "e2", "grant-1");
    settle(&fleet);
    assert_ran_as_told(&fleet, 1, &first, &last);
    fleet.wait_until("the entry reaches the agent again", |fleet| {
        transfer(fleet, "e1", "grant-2").send().status == 200
    });
    assert_eq!(executions(&fleet, "grant-2"), 1);
}
