//! Batches: several claims in one call to the store.

use jujubewind::store::Batch;
use jujubewind::store::Key;
use jujubewind::store::Outcome;
use jujubewind::store::Version;
use jujubewind::store::Write;
use jujubewind::types::MonoTime;

use crate::fake_store::FakeStore;
use crate::fake_store::Fault;

fn create(name: &str) -> Write {
    Write {
        key: Key::new("claims", name),
        expect: Version::ABSENT,
        value: Some(name.as_bytes().to_vec()),
        lease: None,
    }
}

fn batch_of(names: &[&'static str]) -> Batch<&'static str> {
    let mut batch = Batch::default();
    for name in names {
        batch.push(MonoTime::ZERO, *name, create(name));
    }
    batch
}

#[test]
fn claims_in_one_batch_cost_one_call() {
    let mut store = FakeStore::default();
    let mut batch = batch_of(&["a", "b", "c"]);

    let writes = batch.take();
    let outcome = store.call(&Batch::op(&writes), Fault::None);
    let result = Batch::resolve(writes, &outcome);

    assert_eq!(store.calls, 1);
    assert_eq!(result.completed.len(), 3);
    assert!(
        result
            .completed
            .iter()
            .all(|(_, outcome)| matches!(outcome, Outcome::Applied(_)))
    );
}

#[test]
fn a_conflict_of_one_write_does_not_fail_the_others() {
    let mut store = FakeStore::default();
    store.call(
        &jujubewind::store::Op::CompareAndSwap(create("b")),
        Fault::None,
    );
    let mut batch = batch_of(&["a", "b", "c"]);

    let writes = batch.take();
    let outcome = store.call(&Batch::op(&writes), Fault::None);
    let result = Batch::resolve(writes, &outcome);

    let retried: Vec<_> = result.retry.iter().map(|each| each.waiter).collect();
    assert_eq!(retried, ["a", "c"]);
    assert!(matches!(
        result.completed[..],
        [("b", Outcome::Conflict(Some(_)))]
    ));
}

#[test]
fn a_lost_answer_makes_the_outcome_of_every_write_unknown() {
    let mut store = FakeStore::default();
    let mut batch = batch_of(&["a", "b"]);

    let writes = batch.take();
    let outcome = store.call(&Batch::op(&writes), Fault::AnswerLost);
    let result = Batch::resolve(writes, &outcome);

    assert_eq!(
        result.completed,
        [("a", Outcome::Unknown), ("b", Outcome::Unknown)]
    );
}

#[test]
fn a_key_that_is_already_in_the_batch_is_not_accepted() {
    let batch = batch_of(&["a"]);

    let accepted = [batch.accepts(&create("a")), batch.accepts(&create("b"))];

    assert_eq!(accepted, [false, true]);
}
