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

const ENTRIES: usize = 5;
pub const SERVERS: usize = 15;
const TICK_MILLIS: u64 = 10;
const FULL_UPDATE_MILLIS: u64 = 500;
const RUN_MILLIS: u64 = 20_000;
/// When the first request with the fatal part comes.
const START_MILLIS: u64 = 4_000;
/// Crashes after which, and the stable window later, hardly any request with the part may be sent.
const CRASHES: usize = 5;
const STABLE_WINDOW_MILLIS: u64 = 3_000;
const DOWN_MILLIS: u64 = 3_000;
/// From the first token of a fatal answer to the crash.
const FATAL_MILLIS: u64 = 50;
const ANSWER_MILLIS: u64 = 2_000;

/// The part that all prompts share, the first one of callers and of sessions, and the fatal part.
pub const SYSTEM: u128 = 1;
const CALLERS: u128 = 10;
pub const SESSIONS: u128 = 1_000;
const FATAL: u128 = 9_999;

struct Stream {
    entry: usize,
    server: usize,
    begins: u64,
    prints: Prints,
}

/// The state of the fleet, and what happened to requests with the fatal part and beside them.
pub struct World {
    rng: StdRng,
    cores: Vec<Core>,
    streams: BTreeMap<u64, Stream>,
    /// When an engine that is down comes back.
    down: BTreeMap<usize, u64>,
    lives: Vec<u64>,
    next: u64,
    number: u64,
    /// When requests with the fatal part were sent, and ended an engine.
    fatal_sent: Vec<u64>,
    fatal_crashes: Vec<u64>,
    /// Sound requests of the same caller: when they came, and whether they were refused as convicted.
    sound: Vec<(u64, bool)>,
}

pub fn print(number: u128) -> Fingerprint {
    Fingerprint::from_number(number)
}

fn restarted(number: usize, life: u64) -> Server {
    Server {
        started: Some(Incarnation(life)),
        ..server(number)
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let entries = (0..ENTRIES).map(|number| core_of(&format!("entry-{number}"), SERVERS));
        Self {
            rng: StdRng::seed_from_u64(seed),
            cores: entries.collect(),
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

    /// Runs with sound prompts, fatal ones from `START_MILLIS` on, and other crashes with this chance
    /// a tick.
    pub fn run(&mut self, other_crashes: f64) {
        for now in (0..RUN_MILLIS).step_by(usize::try_from(TICK_MILLIS).expect("short")) {
            if self.rng.random_bool(0.4) {
                self.send_sound(now);
            }
            if now >= START_MILLIS && self.rng.random_bool(0.05) {
                self.send(now, &[SYSTEM, CALLERS, FATAL]);
            }
            if self.rng.random_bool(other_crashes) {
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
        let refused = self.send(now, &[SYSTEM, caller, session]) == Some(Reason::Convicted);
        if caller == CALLERS {
            self.sound.push((now, refused));
        }
    }

    /// Sends a request with these shared parts; returns the reason if it is refused.
    fn send(&mut self, now: u64, parts: &[u128]) -> Option<Reason> {
        let id = self.next;
        self.next += 1;
        let entry = self.rng.random_range(0..ENTRIES);
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
                if parts.contains(&FATAL) {
                    self.fatal_sent.push(now);
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
            let is_fatal = stream.prints.parts.contains(&print(FATAL));
            let (server, entry) = (stream.server, stream.entry);
            if is_fatal && now >= stream.begins + FATAL_MILLIS {
                self.fatal_crashes.push(now);
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
        for entry in 0..ENTRIES {
            let (rows, suspects) = self.cores[entry].take_updates(at(now), all);
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
            for other in (0..ENTRIES).filter(|other| *other != entry) {
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
        let Some(fifth) = self.fatal_crashes.get(CRASHES - 1) else {
            return 0;
        };
        let late = |at: &&u64| **at > fifth + STABLE_WINDOW_MILLIS;
        self.fatal_sent.iter().filter(late).count()
    }

    /// The share of the caller's sound requests that are refused as convicted, in thousandths.
    pub fn sound_refused(&self) -> usize {
        let since = self.sound.iter().filter(|(at, _)| *at >= START_MILLIS);
        let refused = since.clone().filter(|(_, refused)| *refused).count();
        refused * 1_000 / since.count().max(1)
    }
}

pub fn id_of(number: usize) -> ServerId {
    server(number).id
}
