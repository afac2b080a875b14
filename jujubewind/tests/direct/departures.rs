//! Backend servers that leave while an entry cannot read the store, but its peers can.

use jujubewind::direct::Core;
use jujubewind::direct::Digest;
use jujubewind::direct::FleetChange;
use jujubewind::direct::Job;
use jujubewind::direct::Server;
use jujubewind::direct::ServerState;
use jujubewind::direct::Stamp;
use jujubewind::direct::Verdict;
use jujubewind::types::Incarnation;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fixture::at;
use crate::fixture::core;
use crate::fixture::core_of;
use crate::fixture::job;
use crate::fixture::server;

const SEEDS: u64 = 300;
/// How often a peer tells everything.
const DIGEST_MILLIS: u64 = 500;
/// How long after its removal or its registration as draining a server may still be sent requests.
const DRAIN_MILLIS: u64 = 2_000;

/// What `core` tells its peers in a full update.
fn digest(core: &mut Core, now: u64) -> Digest {
    Digest {
        node: "entry-2".parse().expect("a name"),
        stamp: Stamp {
            life: Incarnation(1),
            number: now,
        },
        rows: Vec::new(),
        suspects: Vec::new(),
        notices: core.notices().to_peers(at(now)),
        newest: Revision(1),
    }
}

/// The servers that ten short prompts are placed on.
fn places(core: &mut Core, now: u64) -> Vec<String> {
    let ids = now * 100..now * 100 + 10;
    let placed = ids.filter_map(|id| {
        let job = Job {
            arrived: at(now),
            deadline: at(now + 10_000),
            ..job(id, 1_000)
        };
        let verdict = core.place_or_queue(at(now), job.clone());
        core.withdraw(job.id);
        match verdict {
            Some(Verdict::Place(placement)) => Some(placement.primary.id.to_string()),
            _ => None,
        }
    });
    placed.collect()
}

fn uses(core: &mut Core, now: u64, number: usize) -> bool {
    places(core, now).contains(&server(number).id.to_string())
}

fn removed(number: usize) -> FleetChange {
    FleetChange::Removed(server(number).id)
}

/// The next incarnation of the first server is listed.
fn next(state: ServerState) -> FleetChange {
    FleetChange::Listed(Server {
        state,
        started: Some(Incarnation(2)),
        ..server(0)
    })
}

fn draining(number: usize) -> FleetChange {
    FleetChange::Listed(Server {
        state: ServerState::Draining,
        ..server(number)
    })
}

#[test]
fn server_that_left_while_only_this_entry_was_cut_off_gets_nothing() {
    let (mut cut_off, mut peer) = (core(2), core_of("entry-2", 2));
    cut_off.apply_fleet_change(at(0), FleetChange::OutageStarted);

    peer.apply_fleet_change(at(2_000), removed(0));
    cut_off.merge(at(2_500), digest(&mut peer, 2_500));
    let during = uses(&mut cut_off, 2_600, 0);
    cut_off.apply_fleet_change(at(4_000), FleetChange::OutageEnded);
    cut_off.apply_fleet_change(at(4_010), FleetChange::Servers(vec![server(1)]));
    let after = uses(&mut cut_off, 4_100, 0);

    assert!(!during, "a peer told that it left");
    assert!(!after, "the outage was this entry's own");
}

#[test]
fn server_that_drains_while_an_entry_is_cut_off_gets_nothing() {
    let (mut cut_off, mut peer) = (core(2), core_of("entry-2", 2));
    cut_off.apply_fleet_change(at(0), FleetChange::OutageStarted);

    peer.apply_fleet_change(at(2_000), draining(0));
    cut_off.merge(at(2_500), digest(&mut peer, 2_500));

    assert!(!uses(&mut cut_off, 2_600, 0));
}

/// News of the next incarnation replaced that of the one that the entry still listed.
#[test]
fn server_that_drains_gets_nothing_once_peers_tell_that_its_next_incarnation_drains() {
    let (mut cut_off, mut peer) = (core(2), core_of("entry-2", 2));
    cut_off.apply_fleet_change(at(0), FleetChange::OutageStarted);
    peer.apply_fleet_change(at(1_000), draining(0));
    cut_off.merge(at(1_100), digest(&mut peer, 1_100));

    peer.apply_fleet_change(at(2_000), next(ServerState::Draining));
    cut_off.merge(at(2_500), digest(&mut peer, 2_500));

    assert!(!uses(&mut cut_off, 2_600, 0));
}

/// The copy was older than the restart of a server that drained since.
#[test]
fn incarnation_before_the_one_that_drains_is_not_taken_from_a_restored_store() {
    let mut core = core(2);
    core.apply_fleet_change(at(1_000), next(ServerState::Draining));

    core.apply_fleet_change(at(2_000), FleetChange::Restored(vec![server(0), server(1)]));

    assert!(!uses(&mut core, 2_100, 0));
    assert!(!core.notices().allow(at(2_100), &server(0)));
}

#[test]
fn incarnation_before_the_one_that_was_removed_is_not_taken_from_a_restored_store() {
    let mut core = core(2);
    core.apply_fleet_change(at(1_000), next(ServerState::Ready));
    core.apply_fleet_change(at(1_500), removed(0));

    core.apply_fleet_change(at(2_000), FleetChange::Restored(vec![server(0), server(1)]));

    assert!(!uses(&mut core, 2_100, 0));
}

#[test]
fn server_whose_older_incarnation_is_in_a_restored_store_is_used_on_if_it_registers_again() {
    let mut core = core(1);
    core.apply_fleet_change(at(1_000), next(ServerState::Ready));

    core.apply_fleet_change(at(2_000), FleetChange::Restored(vec![server(0)]));
    let before = uses(&mut core, 2_100, 0);
    core.apply_fleet_change(at(3_000), next(ServerState::Ready));
    core.expire(at(9_000));

    assert!(before);
    assert!(uses(&mut core, 9_100, 0));
}

/// Requests look again right before they are sent, in what the notices say.
#[test]
fn server_that_left_is_refused_to_requests_that_were_placed_before() {
    let mut core = core(2);

    core.apply_fleet_change(at(1_000), draining(0));
    core.apply_fleet_change(at(1_000), removed(1));

    assert!(!core.notices().allow(at(1_100), &server(0)));
    assert!(!core.notices().allow(at(1_100), &server(1)));
}

#[test]
fn server_whose_registration_expired_in_a_common_outage_is_kept() {
    let (mut cut_off, mut peer) = (core(2), core_of("entry-2", 2));
    for core in [&mut cut_off, &mut peer] {
        core.apply_fleet_change(at(0), FleetChange::OutageStarted);
        core.apply_fleet_change(at(5_000), FleetChange::OutageEnded);
    }

    peer.apply_fleet_change(at(5_010), removed(0));
    cut_off.merge(at(5_100), digest(&mut peer, 5_100));
    cut_off.apply_fleet_change(at(5_110), removed(0));

    assert!(uses(&mut cut_off, 5_200, 0));
    assert!(uses(&mut peer, 5_200, 0));
}

#[test]
fn server_that_registers_again_after_its_removal_gets_requests() {
    let (mut entry, mut peer) = (core(2), core_of("entry-2", 2));

    peer.apply_fleet_change(at(1_000), removed(0));
    entry.merge(at(1_100), digest(&mut peer, 1_100));
    peer.apply_fleet_change(at(1_500), FleetChange::Listed(server(0)));
    entry.merge(at(1_600), digest(&mut peer, 1_600));

    assert!(uses(&mut peer, 1_600, 0));
    assert!(uses(&mut entry, 4_000, 0));
}

/// A peer reaches the store all the time; some of its updates are lost.
#[test]
fn servers_that_left_get_nothing_after_two_seconds_whoever_lost_the_store() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut cut_off, mut peer) = (core(4), core_of("entry-2", 4));
        let start: u64 = rng.random_range(0..3_000);
        let end = start + rng.random_range(1_000..8_000);
        let noticed = end + rng.random_range(0..3_000);
        let left: u64 = rng.random_range(start..noticed);
        let change = if rng.random_bool(0.5) {
            removed(0)
        } else {
            draining(0)
        };
        for now in (0..14_000).step_by(100) {
            if now == start / 100 * 100 {
                cut_off.apply_fleet_change(at(now), FleetChange::OutageStarted);
            }
            if now == left / 100 * 100 {
                peer.apply_fleet_change(at(now), change.clone());
            }
            if now == noticed / 100 * 100 {
                cut_off.apply_fleet_change(at(now), FleetChange::OutageEnded);
                cut_off.apply_fleet_change(at(now), change.clone());
            }
            peer.expire(at(now));
            cut_off.expire(at(now));
            if now % DIGEST_MILLIS == 0 && rng.random_bool(0.9) {
                cut_off.merge(at(now), digest(&mut peer, now));
            }
            let is_due = now >= left + DRAIN_MILLIS;
            assert!(
                !is_due || !uses(&mut cut_off, now, 0),
                "seed {seed}: left at {left} ms, used at {now} ms, outage from {start} to {end}, noticed at {noticed}"
            );
        }
    }
}
