//! Several claims in one call to the store.

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
fn claims_that_come_together_cost_one_call() {
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
fn one_conflict_does_not_fail_its_companions() {
    let mut store = FakeStore::default();
    store.call(
        &jujubewind::store::Op::CompareAndSwap(create("b")),
        Fault::None,
    );
    let mut batch = batch_of(&["a", "b", "c"]);

    let writes = batch.take();
    let outcome = store.call(&Batch::op(&writes), Fault::None);
    let result = Batch::resolve(writes, &outcome);

    let again: Vec<_> = result.retry.iter().map(|each| each.waiter).collect();
    assert_eq!(again, ["a", "c"]);
    assert!(matches!(
        result.completed[..],
        [("b", Outcome::Conflict(Some(_)))]
    ));
}

#[test]
fn a_lost_answer_leaves_every_write_in_doubt() {
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
fn a_key_that_waits_already_goes_in_the_next_batch() {
    let batch = batch_of(&["a"]);

    let takes = [batch.accepts(&create("a")), batch.accepts(&create("b"))];

    assert_eq!(takes, [false, true]);
}
