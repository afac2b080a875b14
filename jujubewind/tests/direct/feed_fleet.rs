//! Random histories of entries that follow one store, in virtual time.
//!
//! Entries end and start again, lose their way to the store or to each other, and datagrams are
//! lost. What an entry believes is never newer than the truth, and all catch up.

use jujubewind::direct::BootTime;
use jujubewind::direct::FeedChange;
use jujubewind::direct::FeedContent;
use jujubewind::direct::FeedLog;
use jujubewind::direct::FeedPosition;
use jujubewind::direct::FeedRole;
use jujubewind::direct::FeedSource;
use jujubewind::direct::Freshness;
use jujubewind::direct::feed_limits::ASK_INTERVAL;
use jujubewind::direct::feed_limits::MAX_SOURCE_AGE;
use jujubewind::types::NodeId;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fixture::domain;

const SEEDS: u64 = 500;
const ENTRIES: usize = 12;
const DOMAINS: usize = 3;
const TICK_MILLIS: u64 = 100;
/// How long a watch waits for a change.
const WATCH_MILLIS: u64 = 700;
/// The length of the faults, and of the calm after them.
const FAULT_MILLIS: u64 = 30_000;
const CALM_MILLIS: u64 = 12_000;

/// One entry; its next step is due at `next`.
struct Entry {
    source: FeedSource,
    log: FeedLog,
    freshness: Freshness,
    next: u64,
    is_running: bool,
    has_store: bool,
    /// Whether its datagrams arrive.
    has_peers: bool,
}

struct World {
    now: u64,
    rng: StdRng,
    entries: Vec<Entry>,
    /// The times of the store's changes; a revision is their count.
    changes: Vec<u64>,
    calls: u64,
}

fn name(number: usize) -> NodeId {
    format!("entry-{number}").parse().expect("a name")
}

fn zone(number: usize) -> jujubewind::types::DomainId {
    domain(&format!("zone-{}", number % DOMAINS))
}

fn addr(number: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], u16::try_from(number).expect("a port")).into()
}

fn start(number: usize) -> Entry {
    let mut source = FeedSource::new(name(number), zone(number));
    for other in (0..ENTRIES).filter(|other| *other != number) {
        source.insert(name(other), addr(other), Some(&zone(other)));
    }
    Entry {
        source,
        log: FeedLog::default(),
        freshness: Freshness::default(),
        next: 0,
        is_running: true,
        has_store: true,
        has_peers: true,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            entries: (0..ENTRIES).map(start).collect(),
            changes: Vec::new(),
            calls: 0,
        }
    }

    fn boot(&self) -> BootTime {
        BootTime::from_millis(self.now)
    }

    fn revision(&self) -> u64 {
        u64::try_from(self.changes.len()).expect("few changes")
    }

    fn run(&mut self, millis: u64, has_faults: bool) {
        let end = self.now + millis;
        while self.now < end {
            self.now += TICK_MILLIS;
            if self.rng.random_bool(0.2) {
                self.changes.push(self.now);
            }
            if has_faults && self.rng.random_bool(0.1) {
                self.inject();
            }
            for number in 0..ENTRIES {
                if self.entries[number].is_running && self.entries[number].next <= self.now {
                    self.step(number);
                }
            }
            self.check();
        }
    }

    fn inject(&mut self) {
        let number = self.rng.random_range(0..ENTRIES);
        let choice = self.rng.random_range(0..4);
        let next = self.now;
        let entry = &mut self.entries[number];
        match choice {
            0 => entry.is_running = false,
            1 => entry.has_store = !entry.has_store,
            2 => entry.has_peers = !entry.has_peers,
            _ if !entry.is_running => {
                *entry = Entry {
                    next,
                    ..start(number)
                }
            }
            _ => {}
        }
    }

    fn heal(&mut self) {
        for number in 0..ENTRIES {
            let next = self.now;
            let entry = &mut self.entries[number];
            if !entry.is_running {
                *entry = Entry {
                    next,
                    ..start(number)
                };
            }
            (entry.has_store, entry.has_peers) = (true, true);
        }
    }

    fn step(&mut self, number: usize) {
        let is_new = self.entries[number].log.content(FeedPosition::default()) == FeedContent::Gap
            && self.entries[number].log.reached() == FeedPosition::default();
        if is_new {
            return self.read(number, true);
        }
        match self.entries[number].source.role(self.boot()) {
            FeedRole::Reader => self.read(number, false),
            FeedRole::Follower(node, addr) => self.ask(number, &node, usize::from(addr.port())),
        }
    }

    /// Reads or watches the store.
    fn read(&mut self, number: usize, is_first: bool) {
        self.calls += 1;
        let (now, boot, revision) = (self.now, self.boot(), self.revision());
        let own = name(number);
        let entry = &mut self.entries[number];
        if !entry.has_store {
            entry.source.avoid(boot, &own);
            entry.next = now + 600;
            return;
        }
        entry.source.record_reached();
        let reached = entry.log.reached();
        let to = FeedPosition { era: 1, revision };
        if is_first {
            entry.log.restart(to);
        } else {
            for at in reached.revision + 1..=revision {
                entry.log.push(at, FeedChange::Configured(Revision(at)));
            }
            entry.log.reach(revision);
        }
        entry.freshness.renew(boot);
        let is_empty = reached.revision == revision;
        entry.next = now + if is_empty { WATCH_MILLIS } else { TICK_MILLIS };
    }

    fn ask(&mut self, number: usize, node: &NodeId, other: usize) {
        let (now, boot) = (self.now, self.boot());
        let is_lost = self.rng.random_bool(0.03);
        let may_pass = self.entries[number].has_peers && self.entries[other].has_peers;
        let since = self.entries[number].log.reached();
        let peer = &self.entries[other];
        let answer = (peer.is_running && may_pass && !is_lost)
            .then(|| (peer.freshness.age(boot), peer.log.content(since)));
        let entry = &mut self.entries[number];
        entry.next = now + ASK_INTERVAL.get();
        let Some((age, content)) = answer else {
            entry.source.record_silence(boot, node);
            return;
        };
        let age = age.filter(|age| *age <= MAX_SOURCE_AGE);
        let (Some(age), FeedContent::Changes { changes, to, more }) = (age, content) else {
            entry.source.record_stale(boot, node);
            entry.next = now;
            return;
        };
        entry.source.record_answer();
        for (at, change) in changes {
            entry.log.push(at, change);
        }
        entry.log.reach(to.revision);
        if more {
            entry.next = now;
        } else {
            entry.freshness.renew(boot.before(age));
        }
    }

    /// What an entry takes for confirmed at a time, it knows up to then.
    fn check(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            let Some(age) = entry.freshness.age(self.boot()) else {
                continue;
            };
            let confirmed = self.now - age.get();
            let existed = self.changes.iter().filter(|at| **at <= confirmed).count();
            let known = entry.log.reached().revision;
            assert!(
                known >= u64::try_from(existed).expect("few changes"),
                "entry {number} knows {known} of {existed} at {confirmed} ms, now {}",
                self.now
            );
        }
    }
}

#[test]
fn no_entry_takes_for_confirmed_what_it_does_not_know() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);

        world.run(FAULT_MILLIS, true);
    }
}

#[test]
fn all_entries_catch_up_after_the_faults() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.run(FAULT_MILLIS, true);

        world.heal();
        world.run(CALM_MILLIS, false);

        let revision = world.revision();
        for (number, entry) in world.entries.iter().enumerate() {
            let behind = revision - entry.log.reached().revision;
            let age = entry.freshness.age(world.boot()).expect("it was confirmed");
            assert!(
                behind <= 12,
                "seed {seed}: entry {number} is {behind} changes behind"
            );
            assert!(age <= MAX_SOURCE_AGE, "seed {seed}: entry {number}: {age}");
        }
    }
}

/// In a calm fleet one entry of a failure domain calls the store.
#[test]
fn calls_to_the_store_grow_with_the_failure_domains() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.run(2_000, false);
        let before = world.calls;

        world.run(20_000, false);

        let ticks = 20_000 / TICK_MILLIS;
        let calls = world.calls - before;
        let domains = u64::try_from(DOMAINS).expect("a few");
        assert!(calls <= ticks * domains, "{calls} calls");
    }
}
