//! Engine time within the catalogue's limit, with the store's record as the judge.

use nix::sys::signal::Signal;

use crate::answer::Answer;
use crate::desk::records;
use crate::fleet::Fleet;

/// The tokens of each answer.
const TOKENS: u64 = 100;
/// What one request costs: a thousandth of a second for each token, and one for the short prompt.
const PRICE: u64 = TOKENS + 1;

fn fleet(engine_seconds: u64) -> Fleet {
    let fleet = Fleet::new()
        .speed(100)
        .engine_seconds(engine_seconds)
        .platform()
        .engine("a")
        .entry("e1")
        .entry("e2");
    for entry in ["e1", "e2"] {
        fleet.wait_until("the agent is known", |fleet| fleet.agents_known(entry) == 1);
    }
    fleet
}

fn ask(fleet: &Fleet, entry: &str) -> Answer {
    fleet.caller(entry).complete("a deed", TOKENS).send()
}

/// What the store has given out.
fn drawn(fleet: &Fleet) -> u64 {
    let accounts = records(fleet, "credit");
    let amounts = accounts.iter().filter_map(|one| one["drawn"].as_u64());
    amounts.sum()
}

fn served(answers: &[Answer]) -> u64 {
    answers.iter().filter(|one| one.is_whole()).count() as u64
}

fn assert_refused_with_time(answer: &Answer) {
    assert_eq!((answer.status, answer.kind().as_str()), (429, "no_credit"));
    assert_eq!(answer.ran(), "not_run");
    assert!(answer.retry_after.is_some());
}

#[test]
fn two_entries_and_kills_never_spend_more_than_the_limit() {
    let mut fleet = fleet(2);
    let mut answers = Vec::new();

    for round in 0..24 {
        for entry in ["e1", "e2"] {
            answers.push(ask(&fleet, entry));
        }
        if round % 4 == 3 {
            fleet.kill("e1");
            fleet.restart("e1");
            fleet.wait_ready("e1");
            fleet.wait_until("the agent is known", |fleet| fleet.agents_known("e1") == 1);
        }
    }

    let spent = served(&answers) * PRICE;
    assert!(spent > 0, "{answers:?}\n{}", fleet.logs());
    assert!(spent <= drawn(&fleet), "{spent} of {}", drawn(&fleet));
    assert!(drawn(&fleet) <= 2_000);
    let refused = answers.iter().filter(|one| !one.is_whole());
    refused.for_each(assert_refused_with_time);
    assert_refused_with_time(&ask(&fleet, "e2"));
}

#[test]
fn what_is_drawn_is_spent_while_the_store_is_down() {
    let fleet = fleet(1_000);
    let first = ask(&fleet, "e1");

    fleet.faults("platform", r#"{"down": true}"#);
    let outage: Vec<_> = (0..10).map(|_| ask(&fleet, "e1")).collect();
    let other = ask(&fleet, "e2");

    assert!(first.is_whole(), "{}", first.body);
    assert_eq!(served(&outage), 10);
    assert_refused_with_time(&other);
}

#[test]
fn a_planned_stop_returns_what_was_not_spent() {
    let mut fleet = fleet(1_000);
    let answers: Vec<_> = ["e1", "e2", "e1"].map(|entry| ask(&fleet, entry)).into();

    for entry in ["e1", "e2"] {
        fleet.signal(entry, Signal::SIGTERM);
    }
    let ended = ["e1", "e2"].map(|entry| fleet.wait(entry));

    assert_eq!(ended, [true, true]);
    assert_eq!(served(&answers), 3);
    assert_eq!(drawn(&fleet), 3 * PRICE);
}
