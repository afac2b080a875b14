//! Publishing: a change is accepted or refused as a whole, under store faults and concurrent edits.

use std::collections::HashSet;

use jujubewind::catalogue::Catalogue;
use jujubewind::catalogue::ContentHash;
use jujubewind::catalogue::Page;
use jujubewind::catalogue::Tree;
use jujubewind::catalogue::UnixTime;
use jujubewind::catalogue::publish::Base;
use jujubewind::catalogue::publish::Change;
use jujubewind::catalogue::publish::Output;
use jujubewind::catalogue::publish::PublishOutcome;
use jujubewind::catalogue::publish::Publisher;
use jujubewind::catalogue::publish::Reply;
use jujubewind::types::ChangeId;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::model_entry;
use crate::fixture::read;
use crate::store::Store;

const SEEDS: u64 = 2_000;

fn catalogue(model: &str) -> Catalogue {
    read(&[
        model_entry("a1", "office-a", "summary"),
        model_entry("b1", "office-b", model),
    ])
    .expect("valid catalogue")
}

fn publisher(number: u128, base: Base, model: &str) -> Publisher {
    let change = Change {
        id: ChangeId::from_number(number),
        author: format!("operator-{number}"),
        time: UnixTime(1),
        base,
    };
    Publisher::new(change, Tree::of(&catalogue(model)), HashSet::new())
}

fn publish(store: &mut Store, mut publisher: Publisher) -> PublishOutcome {
    let mut output = publisher.begin();
    loop {
        match output {
            Output::Call(request) => output = publisher.handle(store.call(request)),
            Output::Done(outcome) => return outcome,
        }
    }
}

/// Runs publishers whose calls to the store interleave at random.
fn race(store: &mut Store, seed: u64, publishers: Vec<Publisher>) -> Vec<PublishOutcome> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut running: Vec<(Publisher, Output)> = publishers
        .into_iter()
        .map(|publisher| {
            let output = publisher.begin();
            (publisher, output)
        })
        .collect();
    loop {
        let pending: Vec<usize> = (0..running.len())
            .filter(|&index| matches!(running[index].1, Output::Call(_)))
            .collect();
        if pending.is_empty() {
            break;
        }
        let (publisher, output) = &mut running[pending[rng.random_range(0..pending.len())]];
        if let Output::Call(request) = output.clone() {
            *output = publisher.handle(store.call(request));
        }
    }
    running
        .into_iter()
        .map(|(_, output)| outcome(output))
        .collect()
}

fn outcome(output: Output) -> PublishOutcome {
    match output {
        Output::Done(outcome) => outcome,
        Output::Call(request) => panic!("still waits for {request:?}"),
    }
}

/// Whether every page and part that the current head refers to is stored.
fn is_complete(store: &Store) -> bool {
    let Some((_, head)) = &store.head else {
        return true;
    };
    let text = |hash: &ContentHash| store.texts.get(hash);
    head.pages.values().all(|hash| {
        let page = text(hash).and_then(|text| Page::decode(text));
        page.is_some_and(|page| page.parts.values().all(|part| text(part).is_some()))
    })
}

#[test]
fn the_first_change_creates_revision_one() {
    let mut store = Store::new(0, false);

    let outcome = publish(&mut store, publisher(1, Base::Latest, "m"));

    assert_eq!(outcome, PublishOutcome::Accepted(Revision(1)));
    assert!(is_complete(&store));
}

#[test]
fn an_unchanged_catalogue_creates_no_revision() {
    let mut store = Store::new(0, false);
    publish(&mut store, publisher(1, Base::Latest, "m"));

    let outcome = publish(&mut store, publisher(2, Base::Latest, "m"));

    assert_eq!(outcome, PublishOutcome::Unchanged(Revision(1)));
}

#[test]
fn a_change_based_on_an_old_revision_gets_the_conflicting_head() {
    let mut store = Store::new(0, false);
    publish(&mut store, publisher(1, Base::Latest, "m"));
    publish(&mut store, publisher(2, Base::Latest, "n"));

    let outcome = publish(&mut store, publisher(3, Base::Exactly(Revision(1)), "o"));

    let PublishOutcome::Conflict(conflict) = outcome else {
        panic!("{outcome:?}");
    };
    let current = conflict.current.expect("a head");
    assert_eq!(conflict.base, Revision(1));
    assert_eq!(
        (current.revision, current.author.as_str()),
        (Revision(2), "operator-2")
    );
}

#[test]
fn a_lost_answer_is_resolved_even_after_a_later_change() {
    let mut store = Store::new(0, false);
    publish(&mut store, publisher(1, Base::Latest, "m"));
    let mut first = publisher(2, Base::Latest, "n");
    let mut output = first.begin();
    while let Output::Call(request) = output {
        let is_swap = matches!(
            request,
            jujubewind::catalogue::publish::Request::SwapHead(..)
        );
        let reply = store.call(request);
        output = first.handle(if is_swap { Reply::Unknown } else { reply });
        if is_swap {
            break;
        }
    }

    publish(&mut store, publisher(3, Base::Latest, "o"));
    while let Output::Call(request) = output {
        output = first.handle(store.call(request));
    }

    assert_eq!(outcome(output), PublishOutcome::Accepted(Revision(2)));
}

#[test]
fn racing_changes_on_a_faulty_store_report_their_true_outcome() {
    let mut accepted = 0;
    for seed in 0..SEEDS {
        let mut store = Store::new(seed, true);
        let models = ["m", "n", "o"];
        let publishers = (1..=3).map(|n| publisher(n, Base::Latest, models[n as usize - 1]));

        let outcomes = race(&mut store, seed, publishers.collect());
        store.flush();

        assert!(is_complete(&store), "seed {seed}");
        for (index, outcome) in outcomes.iter().enumerate() {
            let id = ChangeId::from_number(index as u128 + 1);
            let applied = store.accepted.iter().find(|head| head.change == id);
            match outcome {
                PublishOutcome::Accepted(revision) => {
                    assert_eq!(
                        applied.map(|head| head.revision),
                        Some(*revision),
                        "seed {seed}"
                    );
                    accepted += 1;
                }
                PublishOutcome::Unknown(_) => {}
                _ => assert!(
                    applied.is_none(),
                    "seed {seed}: {outcome:?} but it was applied"
                ),
            }
        }
        let revisions: Vec<u64> = store
            .accepted
            .iter()
            .map(|head| head.revision.get())
            .collect();
        assert!(
            revisions.iter().copied().eq(1..=revisions.len() as u64),
            "seed {seed}"
        );
    }
    assert!(accepted > SEEDS, "too few accepted changes: {accepted}");
}
