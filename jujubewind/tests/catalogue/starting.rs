//! A start: the highest revision is looked for, and the store is spared.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubewind::catalogue::ContentHash;
use jujubewind::catalogue::follow::Answer;
use jujubewind::catalogue::follow::Follower;
use jujubewind::catalogue::follow::Output;
use jujubewind::catalogue::follow::Query;
use jujubewind::catalogue::follow::Source;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::Revision;

use crate::following::MEMBERS;
use crate::following::SEEDS;
use crate::following::booted;
use crate::following::revision;

/// Calls a second that the store takes.
const STORE_RATE: u64 = 2_000;

/// How long after their start the readers see the head.
const READER_MILLIS: u64 = 1_500;

#[test]
fn a_restart_of_all_members_at_once_stays_within_the_rate_of_the_store() {
    for seed in 0..SEEDS {
        let mut fleet = booted(seed);
        for member in 0..MEMBERS {
            fleet.stop(member);
        }
        fleet.run(2_000);
        fleet.calls_by_second.clear();

        for member in 0..MEMBERS {
            fleet.start(member);
        }
        fleet.run(READER_MILLIS);
        fleet.open_watches();
        let seconds = fleet.seconds_until(Revision(1));

        let peak = fleet.calls_by_second.values().max().copied();
        assert!(seconds <= 10.0, "seed {seed}: {seconds} s");
        assert!(peak <= Some(STORE_RATE / 2), "seed {seed}: {peak:?}");
    }
}

/// The texts that a question names.
fn texts_of(outputs: &[Output], texts: &BTreeMap<ContentHash, Arc<str>>) -> Vec<String> {
    let hashes = outputs.iter().find_map(|output| match output {
        Output::Query(_, Query::Texts(hashes)) => Some(hashes.clone()),
        _ => None,
    });
    let hashes = hashes.unwrap_or_default();
    hashes.iter().map(|hash| texts[hash].to_string()).collect()
}

/// A follower that has just started and has all texts of revision 1 from a peer.
fn starting_beside_a_stale_peer() -> (Follower, Vec<Output>) {
    let (head, texts) = revision(1);
    let peer = Source::Peer("stale".parse().expect("a name"));
    let mut follower = Follower::default();
    follower.boot(MonoTime::ZERO, &[], Millis(500));
    let mut outputs = follower.handle_answer(MonoTime::ZERO, &peer, Answer::Head(Some(head)));
    loop {
        let found = texts_of(&outputs, &texts);
        if found.is_empty() {
            return (follower, outputs);
        }
        outputs = follower.handle_answer(MonoTime::ZERO, &peer, Answer::Texts(found));
    }
}

#[test]
fn a_stale_peer_alone_is_not_believed_before_the_store_had_its_time() {
    let (mut follower, outputs) = starting_beside_a_stale_peer();

    let early = follower.tick(MonoTime::from_millis(1_500));
    let before = follower.revision();
    let late = follower.tick(MonoTime::from_millis(2_500));

    assert!(outputs.is_empty());
    assert!(
        !early
            .iter()
            .any(|output| matches!(output, Output::Install(_)))
    );
    assert_eq!(before, Revision::ZERO);
    assert!(
        late.iter()
            .any(|output| matches!(output, Output::Install(_)))
    );
}

#[test]
fn a_start_never_goes_through_a_revision_older_than_the_stores() {
    let (mut follower, _) = starting_beside_a_stale_peer();
    let (newest, _) = revision(2);

    follower.handle_answer(
        MonoTime::from_millis(600),
        &Source::Store,
        Answer::Head(Some(newest)),
    );
    for quarter in 3..40 {
        follower.tick(MonoTime::from_millis(250 * quarter));
    }

    assert_eq!(follower.revision(), Revision::ZERO);
}
