//! Entries and engines in virtual time, with sound prompts, fatal ones and crashes for other reasons.

use std::collections::BTreeMap;

use jujubewind::conviction::Fingerprint;
use jujubewind::conviction::Prints;
use jujubewind::direct::Core;
use jujubewind::direct::Digest;
use jujubewind::direct::FleetChange;
use jujubewind::direct::Job;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Peer;
use jujubewind::direct::Server;
use jujubewind::direct::ServerId;
use jujubewind::direct::Stamp;
use jujubewind::direct::Verdict;
use jujubewind::refusal::Reason;
use jujubewind::types::Incarnation;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::job;
use crate::fixture::server;

/// To how many peers an entry tells its load.
const LOAD_FANOUT: usize = 4;
pub const SERVERS: usize = 15;
const TICK_MILLIS: u64 = 10;
const FULL_UPDATE_MILLIS: u64 = 500;
/// Crashes after which, and the stable window later, hardly any request with the part may be sent.
const CRASHES: usize = 5;
const STABLE_WINDOW_MILLIS: u64 = 3_000;
/// How long after these crashes half of the sound requests are served again.
const SETTLING_MILLIS: u64 = 2 * STABLE_WINDOW_MILLIS;
const DOWN_MILLIS: u64 = 3_000;
/// From the first token of a fatal answer to the crash.
const FATAL_MILLIS: u64 = 50;
const ANSWER_MILLIS: u64 = 2_000;

/// The part that all prompts share, the first one of callers and of sessions, and the fatal part.
pub const SYSTEM: u128 = 1;
const CALLERS: u128 = 10;
pub const SESSIONS: u128 = 1_000;
const FATAL: u128 = 9_990;
/// The first part of the sound requests beside those with a fatal part.
const BESIDE: u128 = 5_000;
/// The first session of requests with a fatal part.
const FATAL_SESSIONS: u128 = 6_000;
/// The time between two sound requests with the same part before the start.
const KNOWN_EVERY_MILLIS: u64 = 250;

/// What a fleet has to serve.
#[derive(Clone)]
pub struct Plan {
    pub entries: usize,
    pub run_millis: u64,
    /// The chance of a sound request and of one with a fatal part in each tick.
    pub sound: f64,
    pub fatal: f64,
    /// The number of fatal parts.
    pub fatal_parts: u128,
    /// When the first request with a fatal part comes.
    pub start_millis: u64,
    /// How long before that no requests come.
    pub quiet_millis: u64,
    /// The chance of a crash for another reason in each tick.
    pub other_crashes: f64,
    /// Sound requests beside each one with a fatal part, each with the same part in its place.
    pub beside: u128,
    /// Whether these parts had answers before the start.
    pub known: bool,
    /// The sessions of requests with a fatal part, each a further part of its own; none if it is zero.
    pub fatal_sessions: u128,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 5,
            run_millis: 20_000,
            sound: 0.4,
            fatal: 0.05,
            fatal_parts: 1,
            start_millis: 4_000,
            quiet_millis: 0,
            other_crashes: 0.0,
            beside: 0,
            known: false,
            fatal_sessions: 0,
        }
    }
}

struct Stream {
    entry: usize,
    server: usize,
    begins: u64,
    prints: Prints,
}

/// The state of the fleet, and what happened to requests with the fatal part and beside them.
pub struct World {
    plan: Plan,
    rng: StdRng,
    cores: Vec<Core>,
    streams: BTreeMap<u64, Stream>,
    /// When an engine that is down comes back.
    down: BTreeMap<usize, u64>,
    lives: Vec<u64>,
    next: u64,
    number: u64,
    /// When requests with a fatal part were sent, and ended an engine.
    fatal_sent: Vec<(u128, u64)>,
    fatal_crashes: Vec<(u128, u64)>,
    /// Sound requests of the same caller: when they came, and whether they were refused as convicted.
    sound: Vec<(u64, bool)>,
}

pub fn print(number: u128) -> Fingerprint {
    Fingerprint::from_number(number)
}

pub fn restarted(number: usize, life: u64) -> Server {
    Server {
        started: Some(Incarnation(life)),
        ..server(number)
    }
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> Self {
        let entries = 0..plan.entries;
        let mut cores: Vec<Core> = entries
            .map(|number| core_of(&format!("entry-{number}"), SERVERS))
            .collect();
        let peers: Vec<Peer> = (0..plan.entries).map(peer).collect();
        for (number, core) in cores.iter_mut().enumerate() {
            let mut peers = peers.clone();
            peers.remove(number);
            core.apply_fleet_change(at(0), FleetChange::Peers(peers));
            core.expire(at(0));
        }
        Self {
            plan,
            rng: StdRng::seed_from_u64(seed),
            cores,
            streams: BTreeMap::new(),
            down: BTreeMap::new(),
            lives: vec![1; SERVERS],
            next: 1,
            number: 0,
            fatal_sent: Vec::new(),
            fatal_crashes: Vec::new(),
            sound: Vec::new(),
        }
    }

    /// Runs with sound prompts, fatal ones from their start on, and other crashes.
    pub fn run(&mut self) {
        let plan = self.plan.clone();
        for now in (0..plan.run_millis).step_by(usize::try_from(TICK_MILLIS).expect("short")) {
            let quiet = plan.start_millis - plan.quiet_millis..plan.start_millis;
            let is_quiet = quiet.contains(&now);
            if !is_quiet && self.rng.random_bool(plan.sound) {
                self.send_sound(now);
            }
            let before = plan.start_millis - plan.quiet_millis;
            if plan.known && now < before && now.is_multiple_of(KNOWN_EVERY_MILLIS) {
                let entry = self.rng.random_range(0..plan.entries);
                self.send_beside(now, entry);
            }
            if now >= plan.start_millis && self.rng.random_bool(plan.fatal) {
                let fatal = FATAL + self.rng.random_range(0..plan.fatal_parts);
                let entry = self.rng.random_range(0..plan.entries);
                self.send_beside(now, entry);
                let mut parts = vec![SYSTEM, CALLERS, fatal];
                if plan.fatal_sessions > 0 {
                    parts.push(FATAL_SESSIONS + self.rng.random_range(0..plan.fatal_sessions));
                }
                self.send(now, entry, &parts);
            }
            if self.rng.random_bool(plan.other_crashes) {
                let first = self.rng.random_range(0..SERVERS);
                let count = self.rng.random_range(1..=4);
                (first..first + count).for_each(|number| self.crash(now, number % SERVERS));
            }
            self.advance(now);
            self.exchange(now);
        }
    }

    fn send_sound(&mut self, now: u64) {
        let caller = CALLERS + self.rng.random_range(0..4);
        let session = SESSIONS + self.rng.random_range(0..200);
        let entry = self.rng.random_range(0..self.plan.entries);
        let refused = self.send(now, entry, &[SYSTEM, caller, session]) == Some(Reason::Convicted);
        if caller == CALLERS {
            self.sound.push((now, refused));
        }
    }

    /// Sends the sound requests that stand beside one with a fatal part.
    fn send_beside(&mut self, now: u64, entry: usize) {
        for part in BESIDE..BESIDE + self.plan.beside {
            let refused = self.send(now, entry, &[SYSTEM, CALLERS, part]);
            self.sound.push((now, refused == Some(Reason::Convicted)));
        }
    }

    /// Sends a request with these shared parts to an entry; returns the reason if it is refused.
    fn send(&mut self, now: u64, entry: usize, parts: &[u128]) -> Option<Reason> {
        let id = self.next;
        self.next += 1;
        let prints = Prints {
            request: print(1_000_000 + u128::from(id)),
            parts: parts.iter().copied().map(print).collect(),
        };
        let job = Job {
            arrived: at(now),
            deadline: at(now + 10_000),
            ..job(id, 1_000)
        };
        match self.cores[entry].admit(at(now), job, prints.clone()) {
            Some(Verdict::Place(placement)) => {
                if let Some(fatal) = parts.iter().find(|part| **part >= FATAL) {
                    self.fatal_sent.push((*fatal, now));
                }
                let name = placement.primary.id.to_string();
                let server = name[1..].parse().expect("a number");
                let begins = now + self.rng.random_range(50..200);
                let stream = Stream {
                    entry,
                    server,
                    begins,
                    prints,
                };
                self.streams.insert(id, stream);
                None
            }
            Some(Verdict::Refuse(refusal)) => Some(refusal.reason),
            None => {
                self.cores[entry].withdraw(JobId(id));
                None
            }
        }
    }

    fn advance(&mut self, now: u64) {
        let back: Vec<usize> = self
            .down
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(one, _)| *one)
            .collect();
        for number in back {
            self.down.remove(&number);
            self.lives[number] += 1;
            let next = restarted(number, self.lives[number]);
            for core in &mut self.cores {
                core.apply_fleet_change(at(now), FleetChange::Listed(next.clone()));
            }
        }
        let ids: Vec<u64> = self.streams.keys().copied().collect();
        for id in ids {
            let Some(stream) = self.streams.get(&id) else {
                continue;
            };
            let age = now.saturating_sub(stream.begins);
            let mut fatal = FATAL..FATAL + self.plan.fatal_parts;
            let fatal = fatal.find(|part| stream.prints.parts.contains(&print(*part)));
            let (server, entry) = (stream.server, stream.entry);
            if let Some(part) = fatal
                && now >= stream.begins + FATAL_MILLIS
            {
                self.fatal_crashes.push((part, now));
                self.crash(now, server);
            } else if age >= ANSWER_MILLIS {
                let stream = self.streams.remove(&id).expect("it is open");
                let name = id_of(server);
                self.cores[entry].finish(at(now), JobId(id), &name, stream.prints, Outcome::Served);
            } else if age >= ANSWER_MILLIS / 2 {
                let prints = stream.prints.clone();
                self.cores[entry].mark_progressed(at(now), JobId(id), &prints);
            }
        }
    }

    /// Breaks all answers of an engine, which is listed again later.
    fn crash(&mut self, now: u64, server: usize) {
        let broken: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.server == server)
            .map(|(id, _)| *id)
            .collect();
        for id in broken {
            let stream = self.streams.remove(&id).expect("it is open");
            let core = &mut self.cores[stream.entry];
            let server = id_of(server);
            core.finish(at(now), JobId(id), &server, stream.prints, Outcome::Broken);
        }
        self.down.insert(server, now + DOWN_MILLIS);
        for core in &mut self.cores {
            core.apply_fleet_change(at(now), FleetChange::Removed(id_of(server)));
        }
    }

    /// Each entry tells the others what changed; some datagrams are lost.
    fn exchange(&mut self, now: u64) {
        let all = now.is_multiple_of(FULL_UPDATE_MILLIS);
        let entries = self.plan.entries;
        for entry in 0..entries {
            let (rows, suspects) = self.cores[entry].take_updates(at(now), all);
            let told = if suspects.is_empty() {
                LOAD_FANOUT
            } else {
                entries
            };
            self.number += 1;
            let digest = Digest {
                node: format!("entry-{entry}").parse().expect("a name"),
                stamp: Stamp {
                    life: Incarnation(1),
                    number: self.number,
                },
                rows,
                suspects,
                notices: Vec::new(),
                newest: Revision(1),
            };
            for other in (1..entries).take(told).map(|next| (entry + next) % entries) {
                if self.rng.random_bool(0.95) {
                    self.cores[other].merge(at(now), digest.clone());
                }
            }
        }
        if all {
            self.cores
                .iter_mut()
                .for_each(|core| drop(core.expire(at(now))));
        }
    }

    /// Requests with the fatal part that were sent later than the stable window after five crashes.
    pub fn sent_late(&self) -> usize {
        let parts = FATAL..FATAL + self.plan.fatal_parts;
        parts
            .map(|part| self.part_sent_late(part))
            .max()
            .unwrap_or(0)
    }

    fn part_sent_late(&self, part: u128) -> usize {
        let mut crashes = self.fatal_crashes.iter().filter(|(one, _)| *one == part);
        let Some((_, fifth)) = crashes.nth(CRASHES - 1) else {
            return 0;
        };
        let late = |sent: &&(u128, u64)| sent.0 == part && sent.1 > fifth + STABLE_WINDOW_MILLIS;
        self.fatal_sent.iter().filter(late).count()
    }

    /// The share of the caller's sound requests that are refused as convicted some time after the
    /// fifth crash, or the last one, in thousandths.
    pub fn sound_refused_late(&self) -> usize {
        let last = self.fatal_crashes.len().min(CRASHES).checked_sub(1);
        let last = last.map(|index| self.fatal_crashes[index].1);
        let settled = last.map_or(0, |at| at + SETTLING_MILLIS);
        self.refused_since(settled)
    }

    /// The share of the caller's sound requests that are refused as convicted, in thousandths.
    pub fn sound_refused(&self) -> usize {
        self.refused_since(self.plan.start_millis)
    }

    fn refused_since(&self, start: u64) -> usize {
        let since = self.sound.iter().filter(|(at, _)| *at >= start);
        let refused = since.clone().filter(|(_, refused)| *refused).count();
        refused * 1_000 / since.count().max(1)
    }
}

fn peer(number: usize) -> Peer {
    Peer {
        node: format!("entry-{number}").parse().expect("a name"),
        addr: ([127, 0, 0, 1], 7_000).into(),
        domain: None,
    }
}

pub fn id_of(number: usize) -> ServerId {
    server(number).id
}
