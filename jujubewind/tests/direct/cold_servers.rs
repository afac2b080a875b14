//! Cold backend servers, which endure few requests from all entries together.

use std::collections::VecDeque;
use std::rc::Rc;

use jujubewind::conviction::Fingerprint;
use jujubewind::direct::ColdLimit;
use jujubewind::direct::Core;
use jujubewind::direct::FleetChange;
use jujubewind::direct::JobId;
use jujubewind::direct::Limits;
use jujubewind::direct::Outcome;
use jujubewind::direct::Peer;
use jujubewind::direct::Server;
use jujubewind::direct::ServerId;
use jujubewind::direct::Service;
use jujubewind::direct::Table;
use jujubewind::direct::Verdict;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::NodeId;
use jujubewind::types::RequestRate;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::domain;
use crate::fixture::job;
use crate::fixture::server;

const SERVERS: usize = 4;
const COLD_PER_SECOND: u64 = 26;
/// What a cold server endures in any second: half more than the rate and five.
const BOUND: usize = 44;
const COLD_MILLIS: u64 = 6_000;
/// The longest time until an entry knows that a server is cold.
const NEWS_MILLIS: u64 = 500;
const END_MILLIS: u64 = 5_000;
/// In each of these periods there is one request a millisecond, many times what the servers endure,
/// after a time without requests in which unused shares could add up.
const PERIOD_MILLIS: u64 = 1_600;
const QUIET_MILLIS: u64 = 1_000;
const RESPONSE_MILLIS: u64 = 20;
const SEEDS: u64 = 200;

fn table() -> Rc<Table> {
    let mut table = Table::new(Revision(2), Limits::default());
    table.add_service(Service {
        name: "llm".parse().expect("a name"),
        connections: 99,
        cold: Some(ColdLimit {
            span: Millis(COLD_MILLIS),
            rate: RequestRate::from_milli(COLD_PER_SECOND * 1_000),
        }),
        engine: None,
    });
    Rc::new(table)
}

fn node(number: usize) -> NodeId {
    format!("entry-{number}").parse().expect("a name")
}

fn peers(own: usize, entries: usize) -> FleetChange {
    let peer = |number| Peer {
        node: node(number),
        addr: ([127, 0, 0, 1], 7_000).into(),
        domain: None,
    };
    let others = (0..entries).filter(|number| *number != own);
    FleetChange::Peers(others.map(peer).collect())
}

fn cold(number: usize, left: u64) -> Server {
    Server {
        cold_left: Millis(left),
        slots: 1_000,
        ..server(number)
    }
}

/// An entry that lists all servers as cold for `left` milliseconds, or warm.
fn entry(number: usize, entries: usize, now: MonoTime, left: u64) -> Core {
    let mut core = core_of(node(number).as_str(), SERVERS);
    core.configure(now, table());
    core.apply_fleet_change(now, peers(number, entries));
    list(&mut core, now, left);
    core
}

fn list(core: &mut Core, now: MonoTime, left: u64) {
    let servers = (0..SERVERS).map(|number| cold(number, left)).collect();
    core.apply_fleet_change(now, FleetChange::Servers(servers));
}

/// Plays entries that send as much as they may to servers that turn cold at once; returns the most
/// requests that one of them gets in a second once all entries know of it.
fn play(entries: usize, seed: u64, disturb: impl Fn(&mut StdRng, &mut Vec<Core>, u64)) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let mut cores: Vec<Core> = (0..entries)
        .map(|number| entry(number, entries, at(0), 0))
        .collect();
    let news: Vec<u64> = cores
        .iter()
        .map(|_| random.random_range(1..NEWS_MILLIS))
        .collect();
    let mut open: VecDeque<(u64, usize, u64, ServerId)> = VecDeque::new();
    let mut arrivals: Vec<(ServerId, u64)> = Vec::new();
    let mut jobs = 0;
    for now in 0..END_MILLIS {
        for number in (0..entries).filter(|number| news[*number] == now) {
            list(&mut cores[number], at(now), COLD_MILLIS - now);
        }
        disturb(&mut random, &mut cores, now);
        while open.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, number, id, server) = open.pop_front().expect("an open request");
            let print = Fingerprint::from_number(u128::from(id));
            cores[number].finish(at(now), JobId(id), &server, print, Outcome::Served);
        }
        if now % PERIOD_MILLIS >= QUIET_MILLIS {
            jobs += 1;
            let number = random.random_range(0..entries);
            let mut call = job(jobs, 0);
            (call.arrived, call.deadline) = (at(now), at(now + 100));
            let verdict = cores[number].place_or_queue(at(now), call);
            cores[number].drain();
            if let Some(Verdict::Place(placement)) = verdict {
                let id = placement.primary.id.clone();
                open.push_back((now + RESPONSE_MILLIS, number, jobs, id.clone()));
                arrivals.push((id, now));
            }
        }
    }
    (0..SERVERS)
        .map(|number| most_in_second(&arrivals, &server(number).id))
        .max()
        .unwrap_or_default()
}

fn most_in_second(arrivals: &[(ServerId, u64)], id: &ServerId) -> usize {
    let times: Vec<u64> = arrivals
        .iter()
        .filter(|(server, time)| server == id && *time >= NEWS_MILLIS)
        .map(|(_, time)| *time)
        .collect();
    let count = |first: &u64| {
        let in_second = |time: &&u64| (*first..first + 1_000).contains(*time);
        times.iter().filter(in_second).count()
    };
    times.iter().map(count).max().unwrap_or_default()
}

/// Answers many servers that come back at once while all entries have more to send than they endure.
#[test]
fn cold_servers_get_no_more_than_they_endure_from_any_number_of_entries() {
    for entries in [1, 4, 30, 100] {
        let most = play(entries, 1, |_, _, _| {});

        assert!(
            most <= BOUND,
            "{most} requests in a second from {entries} entries"
        );
        assert!(
            most >= 10,
            "{most} requests in a second from {entries} entries: too few"
        );
    }
}

/// Guards against entries that start, lose their peers or disagree on who they are.
#[test]
fn cold_servers_get_no_more_than_they_endure_while_entries_start_and_leave() {
    for seed in 0..SEEDS {
        let entries = [4, 8, 30][usize::try_from(seed % 3).expect("a small number")];
        let most = play(entries, seed, |random, cores, now| {
            if random.random_range(0..300) == 0 {
                let number = random.random_range(0..entries);
                cores[number] = entry(number, entries, at(now), COLD_MILLIS - now);
            }
            if now == 1_500 {
                // One entry is cut off: the others no longer count it, and it goes on.
                for (number, core) in cores.iter_mut().enumerate().skip(1) {
                    core.apply_fleet_change(at(now), FleetChange::PeerRemoved(node(0)));
                    assert_ne!(number, 0);
                }
            }
        });

        assert!(
            most <= BOUND,
            "seed {seed}: {most} requests in a second from {entries} entries"
        );
    }
}

#[test]
fn a_server_that_is_warm_again_is_not_held_back() {
    let mut core = entry(0, 1, at(0), 1_000);
    core.expire(at(2_000));

    let placed = (0..40).filter(|number| {
        let mut call = job(*number, 0);
        call.arrived = at(2_000);
        core.place_or_queue(at(2_000), call).is_some()
    });

    assert_eq!(placed.count(), 40);
}

/// The servers of an evacuated domain may have turned cold, and the list does not tell at once.
#[test]
fn the_servers_of_a_domain_that_returns_count_as_cold() {
    let mut core = entry(0, 1, at(0), 0);
    core.apply_fleet_change(at(0), FleetChange::Evacuated(domain("zone-a")));

    core.apply_fleet_change(at(9_000), FleetChange::Returned(domain("zone-a")));

    assert_eq!(core.counts(at(9_000)).cold, SERVERS);
}
