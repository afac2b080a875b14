//! Many entries whose placements show to each other only after a while.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubewind::conviction::Fingerprint;
use jujubewind::direct::Core;
use jujubewind::direct::Digest;
use jujubewind::direct::FleetChange;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Peer;
use jujubewind::direct::ServerId;
use jujubewind::direct::Stamp;
use jujubewind::direct::Verdict;
use jujubewind::types::Incarnation;
use jujubewind::types::NodeId;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::engine;
use crate::fixture::job;

/// How long the entries take to hear of each other's first placements, and a little more.
const SETTLING_MILLIS: u64 = 1_500;
const SPAN_MILLIS: u64 = 4_000;
/// How long a short answer is decoded.
const DECODE_MILLIS: u64 = 800;
const SHORT_PROMPT_TOKENS: u64 = 5_000;

/// A stream and when its prefill and its answer end, in milliseconds.
struct Stream {
    entry: usize,
    server: ServerId,
    prefill_ends: u64,
    ends: u64,
}

/// Entries that share engines, in virtual milliseconds; each engine prefills one prompt at a time.
struct Fleet {
    /// How long an update takes to reach the other entries.
    lag_millis: u64,
    cores: Vec<Core>,
    free_at: BTreeMap<ServerId, u64>,
    streams: BTreeMap<u64, Stream>,
    updates: VecDeque<(u64, usize, Digest)>,
    numbers: Vec<u64>,
}

impl Fleet {
    fn new(entries: usize, engines: usize, lag_millis: u64) -> Self {
        let core = |number: usize| {
            let mut core = core_of(node(number).as_str(), engines);
            let others = (0..entries).filter(|other| *other != number);
            let peers = FleetChange::Peers(others.map(peer).collect());
            core.apply_fleet_change(at(0), peers);
            core
        };
        Self {
            lag_millis,
            cores: (0..entries).map(core).collect(),
            free_at: BTreeMap::new(),
            streams: BTreeMap::new(),
            updates: VecDeque::new(),
            numbers: vec![0; entries],
        }
    }

    /// Sends short prompts at an even rate, each to an entry by its number; returns the times to the
    /// first token of those after `settled` in ascending order.
    fn send_short(&mut self, per_second: u64, settled: u64, span_millis: u64) -> Vec<u64> {
        let (mut waits, mut sent) = (Vec::new(), 0);
        for now in 0..span_millis {
            self.deliver(now);
            self.advance(now);
            while sent <= now * per_second / 1_000 {
                let wait = self.arrive(now, sent);
                waits.extend((now >= settled).then_some(wait));
                sent += 1;
            }
        }
        waits.sort_unstable();
        waits
    }

    fn arrive(&mut self, now: u64, id: u64) -> u64 {
        let entry = StdRng::seed_from_u64(id).random_range(0..self.cores.len());
        let mut short = job(id, SHORT_PROMPT_TOKENS);
        short.arrived = at(now);
        let verdict = self.cores[entry].place_or_queue(at(now), short);
        let Some(Verdict::Place(placement)) = verdict else {
            panic!("there is room for request {id}: {verdict:?}");
        };
        let prefill = engine().prefill_time(job(id, SHORT_PROMPT_TOKENS).prompt);
        let server = placement.primary.id.clone();
        let free_at = self.free_at.entry(server.clone()).or_default();
        let prefill_ends = now.max(*free_at) + prefill.millis().get();
        *free_at = prefill_ends;
        let ends = prefill_ends + DECODE_MILLIS;
        let stream = Stream {
            entry,
            server,
            prefill_ends,
            ends,
        };
        self.streams.insert(id, stream);
        self.tell(now, entry);
        prefill_ends - now
    }

    fn advance(&mut self, now: u64) {
        let mut changed = Vec::new();
        for (id, stream) in &self.streams {
            let core = &mut self.cores[stream.entry];
            if stream.prefill_ends == now {
                core.mark_prefilled(JobId(*id));
                changed.push(stream.entry);
            }
            if stream.ends == now {
                let fingerprint = Fingerprint::from_number(u128::from(*id));
                let (id, server) = (JobId(*id), &stream.server);
                core.finish(at(now), id, server, fingerprint, Outcome::Served);
                changed.push(stream.entry);
            }
        }
        self.streams.retain(|_, stream| stream.ends > now);
        for entry in changed {
            self.tell(now, entry);
        }
    }

    fn tell(&mut self, now: u64, entry: usize) {
        let (rows, suspects) = self.cores[entry].take_updates(at(now), false);
        self.numbers[entry] += 1;
        let digest = Digest {
            node: node(entry),
            stamp: Stamp {
                life: Incarnation(1),
                number: self.numbers[entry],
            },
            rows,
            suspects,
            notices: Vec::new(),
            newest: Revision::ZERO,
        };
        self.updates
            .push_back((now + self.lag_millis, entry, digest));
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
}

fn node(number: usize) -> NodeId {
    format!("entry-{number}").parse().expect("a name")
}

fn peer(number: usize) -> Peer {
    Peer {
        node: node(number),
        addr: ([127, 0, 0, 1], 7_000).into(),
        domain: None,
    }
}

/// The latency target of a short prompt, in milliseconds.
fn latency_target() -> u64 {
    job(0, SHORT_PROMPT_TOKENS).latency_target.get()
}

/// The wait that 95 in 100 requests do not exceed.
fn p95(waits: &[u64]) -> u64 {
    waits[waits.len() * 95 / 100]
}

#[test]
fn short_prompts_meet_their_latency_target_although_entries_see_each_other_late() {
    let mut fleet = Fleet::new(40, 40, 50);

    let waits = fleet.send_short(500, 0, 2_000);

    let in_time = waits.partition_point(|wait| *wait <= latency_target() / 2);
    assert!(
        in_time * 100 >= waits.len() * 95,
        "{in_time} of {} first tokens within half of the latency target, the last after {:?} ms",
        waits.len(),
        waits.last()
    );
}

/// Answers many entries that choose at the same moment by old views: callers wait little longer than if
/// one entry chose for all.
#[test]
fn callers_of_many_entries_with_old_views_wait_little_longer_than_those_of_one() {
    for (entries, engines, per_second) in [(4, 15, 186), (30, 78, 970), (100, 78, 970)] {
        let alone = Fleet::new(1, engines, 0).send_short(per_second, SETTLING_MILLIS, SPAN_MILLIS);
        for lag in [50, 200] {
            let mut fleet = Fleet::new(entries, engines, lag);

            let waits = fleet.send_short(per_second, SETTLING_MILLIS, SPAN_MILLIS);

            let wait = p95(&waits);
            assert!(
                wait <= latency_target() / 2,
                "{entries} entries, {engines} engines, views {lag} ms old: p95 {wait} ms, alone {} ms",
                p95(&alone)
            );
        }
    }
}

/// Guards against entries that start together, have heard of no work and all choose the same engines.
#[test]
fn entries_that_have_heard_of_no_work_choose_different_engines() {
    let mut fleet = Fleet::new(30, 78, 1_000);

    let waits = fleet.send_short(300, 0, 100);

    let last = waits.last().copied().unwrap_or_default();
    assert!(
        last <= latency_target() / 2,
        "the last first token after {last} ms"
    );
}
