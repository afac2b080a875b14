//! Following the catalogue: a change reaches every process within seconds and is never reverted.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubewind::catalogue::ContentHash;
use jujubewind::catalogue::Head;
use jujubewind::catalogue::Tree;
use jujubewind::catalogue::UnixTime;
use jujubewind::catalogue::follow::Answer;
use jujubewind::catalogue::follow::Follower;
use jujubewind::catalogue::follow::Output;
use jujubewind::catalogue::follow::Query;
use jujubewind::catalogue::follow::Source;
use jujubewind::types::ChangeId;
use jujubewind::types::MonoTime;
use jujubewind::types::NodeId;
use jujubewind::types::Revision;

use crate::fixture::model_entry;
use crate::fixture::read;
use crate::fleet::DOMAINS;
use crate::fleet::Fleet;

/// The number of members, as in a large deployment.
pub const MEMBERS: usize = 410;

/// The number of random seeds per test.
pub const SEEDS: u64 = 4;

/// The longest time until all members have installed a change.
const MAX_PROPAGATION_SECONDS: f64 = 4.0;

/// Revision `number` of a catalogue of ten organisations. One of them, chosen by `number`, has a
/// model named after the revision.
pub fn revision(number: u64) -> (Head, BTreeMap<ContentHash, Arc<str>>) {
    let entries: Vec<String> = (0..10)
        .map(|org| {
            let model = if org == number % 10 { number } else { 0 };
            model_entry(&format!("e{org}"), &format!("o{org}"), &format!("m{model}"))
        })
        .collect();
    let tree = Tree::of(&read(&entries).expect("valid catalogue"));
    let head = Head {
        revision: Revision(number),
        change: ChangeId::from_number(number.into()),
        author: "operator".to_owned(),
        time: UnixTime(1),
        pages: tree.pages,
    };
    (head, tree.texts.into_iter().collect())
}

fn publish(fleet: &mut Fleet, number: u64) {
    let (head, texts) = revision(number);
    fleet.publish(head, texts);
}

/// A fleet whose members have all installed revision 1.
pub fn booted_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(MEMBERS, seed);
    publish(&mut fleet, 1);
    fleet.run(10_000);
    assert_eq!(fleet.lowest_revision(), Revision(1), "seed {seed}");
    fleet
}

fn assert_never_reverted(fleet: &Fleet, seed: u64) {
    for member in &fleet.members {
        let is_increasing = |pair: &[Arc<_>]| {
            let revision = |index: usize| jujubewind::catalogue::Catalogue::revision(&pair[index]);
            revision(0) < revision(1)
        };
        assert!(
            member.installed.windows(2).all(is_increasing),
            "seed {seed}"
        );
    }
}

#[test]
fn a_change_reaches_all_members_within_seconds() {
    for seed in 0..SEEDS {
        let mut fleet = booted_fleet(seed);
        fleet.loss = 0.2;

        publish(&mut fleet, 2);
        let seconds = fleet.seconds_until(Revision(2));

        assert!(
            seconds <= MAX_PROPAGATION_SECONDS,
            "seed {seed}: {seconds} s"
        );
        assert_never_reverted(&fleet, seed);
    }
}

#[test]
fn a_failure_domain_whose_watching_member_stopped_is_updated_by_the_others() {
    for seed in 0..SEEDS {
        let mut fleet = booted_fleet(seed);
        fleet.loss = 0.1;
        fleet.stop(0);
        fleet.stop(1);

        publish(&mut fleet, 2);
        let seconds = fleet.seconds_until(Revision(2));

        assert!(
            seconds <= MAX_PROPAGATION_SECONDS,
            "seed {seed}: {seconds} s"
        );
    }
}

#[test]
fn changes_in_quick_succession_converge_to_the_last() {
    for seed in 0..SEEDS {
        let mut fleet = booted_fleet(seed);
        fleet.loss = 0.2;

        for number in 2..12 {
            publish(&mut fleet, number);
            fleet.run(150);
        }
        let seconds = fleet.seconds_until(Revision(11));

        assert!(
            seconds <= MAX_PROPAGATION_SECONDS,
            "seed {seed}: {seconds} s"
        );
        assert_never_reverted(&fleet, seed);
    }
}

#[test]
fn members_that_start_in_a_store_outage_are_updated_by_peers() {
    for seed in 0..SEEDS {
        let mut fleet = booted_fleet(seed);
        publish(&mut fleet, 2);
        fleet.run(5_000);
        fleet.store_up = false;
        for member in 0..200 {
            fleet.stop(member);
        }
        fleet.run(5_000);

        for member in 0..200 {
            fleet.start(member);
        }
        fleet.run(10_000);

        assert_eq!(fleet.lowest_revision(), Revision(2), "seed {seed}");
        assert_never_reverted(&fleet, seed);
    }
}

#[test]
fn no_catalogue_is_installed_without_the_store_and_peers() {
    let mut fleet = Fleet::new(MEMBERS, 1);
    publish(&mut fleet, 1);
    fleet.store_up = false;

    fleet.run(10_000);

    assert!(
        fleet
            .members
            .iter()
            .skip(DOMAINS)
            .all(|member| member.installed.is_empty())
    );
}

#[test]
fn an_idle_fleet_makes_no_calls_to_the_store() {
    let mut fleet = booted_fleet(1);
    let before = fleet.store_calls;

    fleet.run(60_000);
    let idle = fleet.store_calls - before;
    publish(&mut fleet, 2);
    fleet.run(5_000);

    assert_eq!(idle, 0);
    let calls = fleet.store_calls - before;
    assert!(calls <= 10 * DOMAINS as u64, "{calls} calls for one change");
}

fn follower_at(number: u64) -> Follower {
    let (head, texts) = revision(number);
    let mut follower = Follower::default();
    let now = MonoTime::ZERO;
    let mut outputs = follower.handle_answer(now, &Source::Store, Answer::Head(Some(head)));
    while let Some(Output::Query(_, Query::Texts(hashes))) = outputs.pop() {
        let found = hashes.iter().map(|hash| texts[hash].to_string()).collect();
        outputs = follower.handle_answer(now, &Source::Store, Answer::Texts(found));
    }
    assert_eq!(follower.revision(), Revision(number));
    follower
}

#[test]
fn a_stale_peer_cannot_revert_a_revision() {
    let mut follower = follower_at(2);
    let stale: NodeId = "stale".parse().expect("valid name");
    let (old, _) = revision(1);

    let after_gossip = follower.handle_revision(MonoTime::ZERO, &stale, Revision(1));
    let after_answer = follower.handle_answer(
        MonoTime::ZERO,
        &Source::Peer(stale),
        Answer::Head(Some(old)),
    );

    assert!(after_gossip.is_empty() && after_answer.is_empty());
    assert_eq!(follower.revision(), Revision(2));
}

#[test]
fn a_text_that_does_not_match_its_hash_is_never_installed() {
    let mut follower = follower_at(1);
    let (head, texts) = revision(2);
    let peer = Source::Peer("peer".parse().expect("valid name"));
    let forged: Vec<String> = texts
        .values()
        .map(|text| text.replace("m2", "m3"))
        .collect();

    follower.handle_answer(MonoTime::ZERO, &peer, Answer::Head(Some(head)));
    for _ in 0..3 {
        follower.handle_answer(MonoTime::ZERO, &peer, Answer::Texts(forged.clone()));
    }

    assert_eq!(follower.revision(), Revision(1));
}
