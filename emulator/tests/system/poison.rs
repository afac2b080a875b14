//! A request that crashes every engine it reaches must be convicted when it is sent repeatedly:
//! entries then refuse it without running it.

use std::thread;

use jujube_emulator::engine::core::POISON;
use jujube_emulator::engine::core::answer::expected;

use crate::answer::Answer;
use crate::fleet::Fleet;

/// Maximum number of crashes that one request may cause.
const MAX_CRASHES: u64 = 3;
/// Number of sends after which all further ones must be refused.
const SENDS_BEFORE_CONVICTION: usize = 3;
/// Number of times the request is sent.
const SENDS: usize = 8;
/// Names of the engines.
const ENGINES: [&str; 3] = ["a", "b", "c"];
/// Number of other requests in progress when the crashing request arrives.
const OTHER_REQUESTS: u64 = 9;
/// Slowdown factor that keeps the other requests running until all of them are placed.
const SLOWDOWN: u32 = 30;
/// Length of the other answers in tokens.
const TOKENS: u64 = 200;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new().speed(10).engine("a").engine("b").engine("c");
    for entry in ["e1", "e2"] {
        fleet = fleet.entry(entry);
    }
    fleet.wait_until("both entries know all agents", |fleet| {
        fleet.agents_known("e1") == 3 && fleet.agents_known("e2") == 3
    });
    fleet
}

fn set_slowdown(fleet: &Fleet, factor: u32) {
    for name in ENGINES {
        fleet.set_faults(
            &format!("{name}-engine"),
            &format!("{{\"slow\": {factor}}}"),
        );
    }
}

/// Sum of the engines' incarnations, which grows with each crash.
fn incarnation_sum(fleet: &Fleet) -> u64 {
    let incarnation = |name: &str| {
        let list = fleet.get(&format!("{name}-engine"), "/v1/sequences");
        list["incarnation"].as_u64()
    };
    let all_up = || ENGINES.map(incarnation).into_iter().sum::<Option<u64>>();
    fleet.wait_until("all engines answer", |_| all_up().is_some());
    all_up().unwrap_or_default()
}

fn send_poison(fleet: &Fleet, count: usize) -> Vec<Answer> {
    let entries = ["e1", "e2"].into_iter().cycle().take(count);
    entries
        .map(|entry| {
            let answer = fleet.caller(entry).complete(POISON, 20).send();
            // Waits until all engines answer again, so that the next send finds them up.
            let _ = incarnation_sum(fleet);
            answer
        })
        .collect()
}

#[test]
fn a_request_that_crashes_engines_is_convicted_through_two_entries() {
    let fleet = fleet();
    let before = incarnation_sum(&fleet);

    let answers = send_poison(&fleet, SENDS);

    let crashes = incarnation_sum(&fleet) - before;
    assert!(
        (1..=MAX_CRASHES).contains(&crashes),
        "{crashes}\n{}",
        fleet.logs()
    );
    for answer in answers.iter().skip(SENDS_BEFORE_CONVICTION) {
        assert_eq!(answer.status, 422, "{}\n{}", answer.body, fleet.logs());
        assert_eq!(answer.kind(), "convicted");
        assert_eq!(answer.ran(), "not_run");
    }
}

#[test]
fn other_requests_on_the_crashed_engines_are_answered_completely() {
    let fleet = fleet();
    let prompt = |number: u64| format!("deed {number} ").repeat(100);
    set_slowdown(&fleet, SLOWDOWN);
    let callers: Vec<_> = (0..OTHER_REQUESTS)
        .map(|number| fleet.caller("e1").complete(&prompt(number), TOKENS))
        .map(|caller| thread::spawn(move || caller.send()))
        .collect();
    fleet.wait_until("all are placed", |fleet| {
        let counts = ENGINES.map(|name| fleet.sequences(name));
        counts.into_iter().sum::<usize>() == callers.len()
    });
    set_slowdown(&fleet, 1);
    let before = incarnation_sum(&fleet);

    let _ = send_poison(&fleet, 3);

    assert!(incarnation_sum(&fleet) > before, "{}", fleet.logs());
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().expect("the caller ends");
        assert!(answer.is_complete(), "{}\n{}", answer.body, fleet.logs());
        assert_eq!(answer.text(), expected(&prompt(number as u64), TOKENS));
    }
}
