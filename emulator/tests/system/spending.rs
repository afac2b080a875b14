//! Limit of engine time in the catalogue, checked against the credit records in the store.

use nix::sys::signal::Signal;

use crate::answer::Answer;
use crate::desk::records;
use crate::fleet::Fleet;

/// Length of each answer.
const TOKENS: u64 = 100;
/// Engine time of one request: one millisecond for each token and one for the short prompt.
const COST_MILLIS: u64 = TOKENS + 1;

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

fn complete(fleet: &Fleet, entry: &str) -> Answer {
    fleet.caller(entry).complete("a deed", TOKENS).send()
}

/// Engine time in milliseconds that the entries have drawn from the store.
fn drawn_credit(fleet: &Fleet) -> u64 {
    let accounts = records(fleet, "credit");
    let amounts = accounts.iter().filter_map(|one| one["drawn"].as_u64());
    amounts.sum()
}

fn served(answers: &[Answer]) -> u64 {
    answers.iter().filter(|one| one.is_complete()).count() as u64
}

fn assert_no_credit(answer: &Answer) {
    assert_eq!((answer.status, answer.kind().as_str()), (429, "no_credit"));
    assert_eq!(answer.ran(), "not_run");
    assert!(answer.retry_after.is_some());
}

#[test]
fn two_entries_with_crashes_never_spend_more_than_the_limit() {
    let mut fleet = fleet(2);
    let mut answers = Vec::new();

    for round in 0..24 {
        for entry in ["e1", "e2"] {
            answers.push(complete(&fleet, entry));
        }
        if round % 4 == 3 {
            fleet.kill("e1");
            fleet.restart("e1");
            fleet.wait_ready("e1");
            fleet.wait_until("the agent is known", |fleet| fleet.agents_known("e1") == 1);
        }
    }

    let spent = served(&answers) * COST_MILLIS;
    assert!(spent > 0, "{answers:?}\n{}", fleet.logs());
    assert!(
        spent <= drawn_credit(&fleet),
        "{spent} of {}",
        drawn_credit(&fleet)
    );
    assert!(drawn_credit(&fleet) <= 2_000);
    let refused = answers.iter().filter(|one| !one.is_complete());
    refused.for_each(assert_no_credit);
    assert_no_credit(&complete(&fleet, "e2"));
}

#[test]
fn drawn_credit_can_be_spent_while_the_store_is_down() {
    let fleet = fleet(1_000);
    let first = complete(&fleet, "e1");

    fleet.set_faults("platform", r#"{"down": true}"#);
    let outage: Vec<_> = (0..10).map(|_| complete(&fleet, "e1")).collect();
    let other = complete(&fleet, "e2");

    assert!(first.is_complete(), "{}", first.body);
    assert_eq!(served(&outage), 10);
    assert_no_credit(&other);
}

#[test]
fn a_planned_stop_returns_unspent_credit() {
    let mut fleet = fleet(1_000);
    let answers: Vec<_> = ["e1", "e2", "e1"]
        .map(|entry| complete(&fleet, entry))
        .into();

    for entry in ["e1", "e2"] {
        fleet.signal(entry, Signal::SIGTERM);
    }
    let ended = ["e1", "e2"].map(|entry| fleet.wait(entry));

    assert_eq!(ended, [true, true]);
    assert_eq!(served(&answers), 3);
    assert_eq!(drawn_credit(&fleet), 3 * COST_MILLIS);
}
