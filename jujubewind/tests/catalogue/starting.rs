//! Starting: a member installs the highest revision that it finds, with few calls to the store.

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
use crate::following::booted_fleet;
use crate::following::revision;

/// The call rate that the store accepts.
const STORE_CALLS_PER_SECOND: u64 = 2_000;

/// The delay from the start of the members until the watching ones see the head.
const WATCH_DELAY_MILLIS: u64 = 1_500;

#[test]
fn a_restart_of_all_members_at_once_stays_within_the_call_rate_of_the_store() {
    for seed in 0..SEEDS {
        let mut fleet = booted_fleet(seed);
        for member in 0..MEMBERS {
            fleet.stop(member);
        }
        fleet.run(2_000);
        fleet.calls_by_second.clear();

        for member in 0..MEMBERS {
            fleet.start(member);
        }
        fleet.run(WATCH_DELAY_MILLIS);
        fleet.open_watches();
        let seconds = fleet.seconds_until(Revision(1));

        let peak = fleet.calls_by_second.values().max().copied();
        assert!(seconds <= 10.0, "seed {seed}: {seconds} s");
        assert!(
            peak <= Some(STORE_CALLS_PER_SECOND / 2),
            "seed {seed}: {peak:?}"
        );
    }
}

/// The texts that the first text query in `outputs` asks for.
fn texts_of(outputs: &[Output], texts: &BTreeMap<ContentHash, Arc<str>>) -> Vec<String> {
    let hashes = outputs.iter().find_map(|output| match output {
        Output::Query(_, Query::Texts(hashes)) => Some(hashes.clone()),
        _ => None,
    });
    let hashes = hashes.unwrap_or_default();
    hashes.iter().map(|hash| texts[hash].to_string()).collect()
}

/// A follower that has just started and has all texts of revision 1 from a peer, with its last
/// outputs.
fn started_with_a_stale_peer() -> (Follower, Vec<Output>) {
    let (head, texts) = revision(1);
    let peer = Source::Peer("stale".parse().expect("valid name"));
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
fn a_revision_from_a_peer_is_installed_only_after_waiting_for_the_store() {
    let (mut follower, outputs) = started_with_a_stale_peer();

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
fn a_starting_follower_never_installs_a_revision_older_than_the_stores() {
    let (mut follower, _) = started_with_a_stale_peer();
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
