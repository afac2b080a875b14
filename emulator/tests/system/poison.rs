//! A request that crashes every backend server it reaches, sent again and again.

use std::thread;

use jujube_emulator::engine::core::POISON;
use jujube_emulator::engine::core::answer::expected;

use crate::answer::Answer;
use crate::fleet::Fleet;

/// The crashes after which a request is convicted.
const MOST_CRASHES: u64 = 3;
/// The sends after which each one is refused at once.
const FREE_SENDS: usize = 3;
/// How often the caller sends it.
const SENDS: usize = 8;
/// The engines.
const ENGINES: [&str; 3] = ["a", "b", "c"];
/// Requests at work when the poison comes.
const INNOCENTS: u64 = 9;
/// Steps take this many times as long until all of them are placed.
const SLOW: u32 = 30;
/// The length of the innocent answers.
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

fn slow(fleet: &Fleet, factor: u32) {
    for name in ENGINES {
        fleet.faults(
            &format!("{name}-engine"),
            &format!("{{\"slow\": {factor}}}"),
        );
    }
}

fn lives(fleet: &Fleet) -> u64 {
    let life = |name: &str| {
        let list = fleet.get(&format!("{name}-engine"), "/v1/sequences");
        list["incarnation"].as_u64()
    };
    let all_up = || ENGINES.map(life).into_iter().sum::<Option<u64>>();
    fleet.wait_until("all engines answer", |_| all_up().is_some());
    all_up().unwrap_or_default()
}

fn send_poison(fleet: &Fleet, count: usize) -> Vec<Answer> {
    let entries = ["e1", "e2"].into_iter().cycle().take(count);
    entries
        .map(|entry| {
            let answer = fleet.caller(entry).complete(POISON, 20).send();
            let _ = lives(fleet);
            answer
        })
        .collect()
}

#[test]
fn a_request_that_crashes_engines_is_convicted_through_two_entries() {
    let fleet = fleet();
    let before = lives(&fleet);

    let answers = send_poison(&fleet, SENDS);

    let crashes = lives(&fleet) - before;
    assert!(
        (1..=MOST_CRASHES).contains(&crashes),
        "{crashes}\n{}",
        fleet.logs()
    );
    for answer in answers.iter().skip(FREE_SENDS) {
        assert_eq!(answer.status, 422, "{}\n{}", answer.body, fleet.logs());
        assert_eq!(answer.kind(), "convicted");
        assert_eq!(answer.ran(), "not_run");
    }
}

#[test]
fn requests_that_shared_the_engine_are_answered_whole() {
    let fleet = fleet();
    let prompt = |number: u64| format!("deed {number} ").repeat(100);
    slow(&fleet, SLOW);
    let callers: Vec<_> = (0..INNOCENTS)
        .map(|number| fleet.caller("e1").complete(&prompt(number), TOKENS))
        .map(|caller| thread::spawn(move || caller.send()))
        .collect();
    fleet.wait_until("all are placed", |fleet| {
        let counts = ENGINES.map(|name| fleet.sequences(name));
        counts.into_iter().sum::<usize>() == callers.len()
    });
    slow(&fleet, 1);
    let before = lives(&fleet);

    let _ = send_poison(&fleet, 3);

    assert!(lives(&fleet) > before, "{}", fleet.logs());
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().expect("the caller ends");
        assert!(answer.is_whole(), "{}\n{}", answer.body, fleet.logs());
        assert_eq!(answer.text(), expected(&prompt(number as u64), TOKENS));
    }
}
