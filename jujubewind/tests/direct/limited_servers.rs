//! Backend servers that limit the requests of all entries together.

use std::collections::VecDeque;

use jujubewind::conviction::Fingerprint;
use jujubewind::direct::Core;
use jujubewind::direct::Digest;
use jujubewind::direct::FleetChange;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Peer;
use jujubewind::direct::Server;
use jujubewind::direct::ServerId;
use jujubewind::direct::Stamp;
use jujubewind::direct::Verdict;
use jujubewind::pace::NamedLimit;
use jujubewind::refusal::Reason;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::NodeId;
use jujubewind::types::RequestRate;
use jujubewind::types::Revision;

use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::job;
use crate::fixture::server;

/// How long an update takes to reach the other entries.
const LAG_MILLIS: u64 = 50;
/// How often entries repeat what they were told.
const UPDATE_PERIOD_MILLIS: u64 = 500;
/// How often queued requests are retried.
const POLL_PERIOD_MILLIS: u64 = 20;
/// The time from a request to its response.
const RESPONSE_MILLIS: u64 = 100;
const PROMPT_TOKENS: u64 = 1_000;
/// When the servers begin to name their limit.
const NAMED_AT_MILLIS: u64 = 2_000;
/// When many requests come: by then each entry knows of the limits.
const SURGE_AT_MILLIS: u64 = 3_500;
const END_MILLIS: u64 = 12_000;
/// How long after a server named its limit it is bound by it.
const STABLE_MILLIS: u64 = 3_000;
/// The span in which requests are counted.
const WINDOW_MILLIS: u64 = 4_000;
/// The requests a second of each entry during the surge.
const SURGE_PER_ENTRY: u64 = 5;

/// A request whose response has not arrived.
struct Open {
    entry: usize,
    job: u64,
    sent: u64,
    server: Server,
}

/// Entries that share servers which name a limit, in virtual milliseconds.
struct Fleet {
    cores: Vec<Core>,
    /// The servers that name a limit; the others have none.
    limited: usize,
    limit: RequestRate,
    /// When the servers no longer name a limit.
    ends_at: u64,
    /// When the entries' views of each other begin to differ.
    split_at: u64,
    open: VecDeque<Open>,
    updates: VecDeque<(u64, usize, Digest)>,
    /// The times at which requests reached each server.
    arrivals: Vec<(ServerId, u64)>,
    jobs: u64,
    /// The refusals so far.
    refused: usize,
}

impl Fleet {
    fn new(entries: usize, servers: usize, limited: usize, limit: RequestRate) -> Self {
        let cores = (0..entries).map(|entry| {
            let mut core = core_of(node(entry).as_str(), servers);
            let peers = (0..entries).filter(|peer| *peer != entry);
            core.apply_fleet_change(at(0), FleetChange::Peers(peers.map(peer).collect()));
            core
        });
        Self {
            cores: cores.collect(),
            limited,
            limit,
            ends_at: u64::MAX,
            split_at: u64::MAX,
            open: VecDeque::new(),
            updates: VecDeque::new(),
            arrivals: Vec::new(),
            jobs: 0,
            refused: 0,
        }
    }

    /// Plays a quiet time, in which the servers begin to name their limit, and a surge.
    fn play(&mut self, servers: usize) {
        let entries = self.cores.len();
        let quiet_period = 1_000 / u64::try_from(servers).expect("few servers");
        let mut due = 0;
        for now in 0..END_MILLIS {
            if now == self.split_at {
                self.split_views(now, 2);
            }
            self.deliver(now);
            self.respond(now);
            if now < SURGE_AT_MILLIS {
                if now % quiet_period == 0 {
                    self.arrive(now);
                }
            } else {
                due += SURGE_PER_ENTRY * u64::try_from(entries).expect("few entries");
                while due >= 1_000 {
                    due -= 1_000;
                    self.arrive(now);
                }
            }
            if now.is_multiple_of(POLL_PERIOD_MILLIS) {
                self.poll(now);
            }
            if now.is_multiple_of(UPDATE_PERIOD_MILLIS) {
                (0..entries).for_each(|entry| self.tell(now, entry));
                self.cores.iter_mut().for_each(|core| {
                    core.expire(at(now));
                });
            }
        }
    }

    /// Tells every second entry of some more that start, and the others of some that have left.
    fn split_views(&mut self, now: u64, changed: usize) {
        let entries = self.cores.len();
        for (entry, core) in self.cores.iter_mut().enumerate() {
            let known = if entry % 2 == 0 {
                entries + changed
            } else {
                entries - changed
            };
            let peers = (0..known).filter(|peer| *peer != entry).map(peer);
            core.apply_fleet_change(at(now), FleetChange::Peers(peers.collect()));
        }
    }

    fn arrive(&mut self, now: u64) {
        self.jobs += 1;
        let entry = usize::try_from(self.jobs).expect("few requests") % self.cores.len();
        let mut job = job(self.jobs, PROMPT_TOKENS);
        job.arrived = at(now);
        job.deadline = at(now + 10_000);
        let print = Fingerprint::from_number(u128::from(self.jobs));
        if let Some(verdict) = self.cores[entry].admit(at(now), job, print) {
            self.accept(now, entry, self.jobs, verdict);
        }
    }

    fn poll(&mut self, now: u64) {
        for entry in 0..self.cores.len() {
            if self.cores[entry].has_waiting() {
                for (job, verdict) in self.cores[entry].poll(at(now)) {
                    self.accept(now, entry, job.get(), verdict);
                }
            }
        }
    }

    fn accept(&mut self, now: u64, entry: usize, job: u64, verdict: Verdict) {
        let Verdict::Place(placement) = verdict else {
            self.refused += 1;
            return;
        };
        let helpers = placement.helpers.iter().map(|helper| &helper.server);
        for server in helpers.chain([&placement.primary]) {
            self.arrivals.push((server.id.clone(), now));
        }
        self.open.push_back(Open {
            entry,
            job,
            sent: now,
            server: Server::clone(&placement.primary),
        });
    }

    fn respond(&mut self, now: u64) {
        while self
            .open
            .front()
            .is_some_and(|open| open.sent + RESPONSE_MILLIS <= now)
        {
            let open = self.open.pop_front().expect("an open request");
            let named = self.names_limit(now, &open.server.id);
            let core = &mut self.cores[open.entry];
            let is_news = core.record_limit(at(now), &open.server, named, Some(at(open.sent)));
            let print = Fingerprint::from_number(u128::from(open.job));
            let job = JobId(open.job);
            core.finish(at(now), job, &open.server.id, print, Outcome::Served);
            if is_news {
                self.tell(now, open.entry);
            }
        }
    }

    fn names_limit(&self, now: u64, id: &ServerId) -> NamedLimit {
        let is_limited = (0..self.limited).any(|number| server(number).id == *id);
        if is_limited && now >= NAMED_AT_MILLIS && now < self.ends_at {
            NamedLimit::Rate(self.limit)
        } else {
            NamedLimit::Absent
        }
    }

    fn tell(&mut self, now: u64, entry: usize) {
        let notices = self.cores[entry].notices().to_peers(at(now));
        if notices.is_empty() {
            return;
        }
        let digest = Digest {
            node: node(entry),
            stamp: Stamp {
                life: Incarnation(1),
                number: now,
            },
            rows: Vec::new(),
            suspects: Vec::new(),
            notices,
            newest: Revision::ZERO,
        };
        self.updates.push_back((now + LAG_MILLIS, entry, digest));
    }

    fn deliver(&mut self, now: u64) {
        while self.updates.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, from, digest) = self.updates.pop_front().expect("an update");
            for (number, core) in self.cores.iter_mut().enumerate() {
                if number != from {
                    core.merge(at(now), digest.clone());
                }
            }
        }
    }

    /// The most requests that a server got in a window that ends once the limit binds.
    fn most_in_window(&self, id: &ServerId) -> usize {
        let times: Vec<u64> = self.times(id);
        let first_end = NAMED_AT_MILLIS + STABLE_MILLIS;
        let ends = times.iter().copied().filter(|time| *time >= first_end);
        let count = |end: u64| {
            let in_window = |time: &&u64| **time <= end && **time + WINDOW_MILLIS > end;
            times.iter().filter(in_window).count()
        };
        ends.chain([first_end]).map(count).max().unwrap_or_default()
    }

    /// The requests that a server got in the last `span` milliseconds.
    fn late_requests(&self, id: &ServerId, span: u64) -> u64 {
        let times = self.times(id);
        let late = times.iter().filter(|time| **time >= END_MILLIS - span);
        u64::try_from(late.count()).expect("few requests")
    }

    fn assert_limits_held(&self) {
        for number in 0..self.limited {
            let most = self.most_in_window(&server(number).id);
            assert!(
                u64::try_from(most).expect("few requests") <= allowed(self.limit),
                "{most} requests in a window at a limit of {} from {} entries",
                self.limit,
                self.cores.len()
            );
        }
    }

    fn times(&self, id: &ServerId) -> Vec<u64> {
        let own = self.arrivals.iter().filter(|(server, _)| server == id);
        own.map(|(_, time)| *time).collect()
    }
}

fn node(entry: usize) -> NodeId {
    format!("entry-{entry}").parse().expect("a name")
}

fn peer(entry: usize) -> Peer {
    Peer {
        node: node(entry),
        addr: ([127, 0, 0, 1], 7_000).into(),
        domain: None,
    }
}

/// The requests that a server with this limit may get in a window.
fn allowed(limit: RequestRate) -> u64 {
    limit.milli() * WINDOW_MILLIS * 3 / 2 / 1_000_000 + 5
}

#[test]
fn servers_get_no_more_requests_than_their_limit_from_any_number_of_entries() {
    for entries in [1, 4, 30, 410] {
        for milli in [0, 200, 1_000, 1_400, 20_000] {
            let limit = RequestRate::from_milli(milli);
            let mut fleet = Fleet::new(entries, 3, 3, limit);

            fleet.play(3);

            fleet.assert_limits_held();
        }
    }
}

#[test]
fn the_limit_holds_while_entries_know_others_that_start_and_leave() {
    for milli in [200, 1_000, 20_000] {
        let limit = RequestRate::from_milli(milli);
        let mut fleet = Fleet::new(8, 3, 3, limit);
        fleet.split_at = 6_000;

        fleet.play(3);

        fleet.assert_limits_held();
    }
}

#[test]
fn at_least_half_of_a_limit_is_used_while_requests_are_refused() {
    for entries in [1, 4, 30] {
        for milli in [1_000, 1_400, 20_000] {
            let limit = RequestRate::from_milli(milli);
            let demand = SURGE_PER_ENTRY * u64::try_from(entries).expect("few entries");
            if demand < 3 * limit.per_second() {
                continue;
            }
            let mut fleet = Fleet::new(entries, 3, 3, limit);

            fleet.play(3);

            for number in 0..3 {
                let used = fleet.late_requests(&server(number).id, 8_000);
                let whole = milli * 8 / 1_000;
                assert!(
                    used * 2 >= whole,
                    "{used} of {whole} from {entries} entries"
                );
            }
        }
    }
}

#[test]
fn no_request_is_refused_while_other_servers_have_no_limit() {
    let mut fleet = Fleet::new(4, 3, 1, RequestRate::from_milli(1_000));

    fleet.play(3);

    fleet.assert_limits_held();
    assert_eq!(fleet.refused, 0);
}

#[test]
fn servers_that_no_longer_name_a_limit_get_their_requests_again() {
    let mut fleet = Fleet::new(4, 3, 3, RequestRate::from_milli(1_000));
    fleet.ends_at = 6_000;

    fleet.play(3);

    let served: u64 = (0..3)
        .map(|number| fleet.late_requests(&server(number).id, 1_000))
        .sum();
    assert_eq!(served, SURGE_PER_ENTRY * 4);
}

#[test]
fn a_request_beyond_all_limits_is_refused_at_once_with_the_time_of_the_next_place() {
    let mut core = core_of("entry-0", 1);
    core.apply_fleet_change(at(0), FleetChange::Peers(Vec::new()));
    let limit = NamedLimit::Rate(RequestRate::from_milli(200));
    core.record_limit(at(0), &server(0), limit, None);

    let mut late = job(1, PROMPT_TOKENS);
    late.arrived = at(1_000);
    let verdict = core.admit(at(1_000), late, Fingerprint::from_number(1));

    let Some(Verdict::Refuse(refusal)) = verdict else {
        panic!("there is no place in its time: {verdict:?}");
    };
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert_eq!(refusal.retry, Millis(5_000 - 1_000));
}

#[test]
fn a_request_waits_for_a_place_that_comes_in_its_time() {
    let mut core = core_of("entry-0", 1);
    core.apply_fleet_change(at(0), FleetChange::Peers(Vec::new()));
    let limit = NamedLimit::Rate(RequestRate::from_milli(1_000));
    core.record_limit(at(0), &server(0), limit, None);

    let queued = core.admit(at(0), job(1, PROMPT_TOKENS), Fingerprint::from_number(1));
    let early = core.poll(at(990));
    let late = core.poll(at(1_000));

    assert_eq!(queued, None);
    assert_eq!((early.len(), late.len()), (0, 1));
}

#[test]
fn an_entry_that_does_not_know_the_others_sends_nothing_to_a_server_with_a_limit() {
    let mut core = core_of("entry-0", 1);
    let limit = NamedLimit::Rate(RequestRate::from_milli(20_000));
    core.record_limit(at(0), &server(0), limit, None);

    let mut late = job(1, PROMPT_TOKENS);
    late.arrived = at(9_000);
    let verdict = core.admit(at(9_000), late, Fingerprint::from_number(1));

    assert!(matches!(verdict, Some(Verdict::Refuse(_))), "{verdict:?}");
}

#[test]
fn an_entry_whose_first_list_comes_from_a_restored_store_uses_its_share_of_a_limit() {
    let mut core = core_of("entry-0", 1);
    core.apply_fleet_change(at(0), FleetChange::Restored(vec![server(0)]));
    core.apply_fleet_change(at(0), FleetChange::PeerListed(peer(1)));
    let limit = NamedLimit::Rate(RequestRate::from_milli(20_000));
    core.record_limit(at(0), &server(0), limit, None);

    let mut late = job(1, PROMPT_TOKENS);
    late.arrived = at(9_000);
    let verdict = core.admit(at(9_000), late, Fingerprint::from_number(1));

    assert!(matches!(verdict, Some(Verdict::Place(_))), "{verdict:?}");
}
