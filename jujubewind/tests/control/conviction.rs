//! A request that crashes backend servers is refused; the requests that ran beside it are served.

use jujubewind::conviction::Crash;
use jujubewind::conviction::Fingerprint;
use jujubewind::conviction::SuspectRegistry;
use jujubewind::conviction::Verdict;
use jujubewind::conviction::limits::CRASH_TTL;
use jujubewind::conviction::limits::REQUEST_TRIAL_PAUSE;
use jujubewind::refusal::Reason;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::fleet::Fleet;

const ENTRIES: usize = 40;
const DOMAINS: usize = 4;
const SERVERS: usize = 12;
/// The most backend servers that one request may crash, through whichever entries it is sent.
const MAX_CRASHES: u64 = 4;
const POISON: Fingerprint = Fingerprint::from_number(0);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn crash(number: u64) -> Crash {
    Crash {
        node: "agent-1".parse().expect("valid name"),
        incarnation: Incarnation(1),
        number,
    }
}

fn is_refused(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Refuse(refusal) if refusal.reason == Reason::Convicted)
}

fn is_convicted(verdict: &Verdict) -> bool {
    is_refused(verdict) || *verdict == Verdict::Trial
}

#[test]
fn a_crash_makes_a_suspect_that_runs_alone() {
    let mut registry = SuspectRegistry::default();

    registry.record_crash(at(0), POISON, &crash(1), false);

    assert_eq!(registry.verdict(at(1), POISON), Verdict::Alone);
}

#[test]
fn one_crash_reported_twice_counts_once() {
    let mut registry = SuspectRegistry::default();

    for _ in 0..5 {
        registry.record_crash(at(0), POISON, &crash(1), true);
    }

    assert_eq!(registry.verdict(at(1), POISON), Verdict::Alone);
}

#[test]
fn a_suspect_that_crashes_two_more_servers_alone_is_convicted() {
    let mut registry = SuspectRegistry::default();

    registry.record_crash(at(0), POISON, &crash(1), false);
    registry.record_crash(at(1), POISON, &crash(2), true);
    let before = registry.verdict(at(1), POISON);
    registry.record_crash(at(2), POISON, &crash(3), true);

    assert_eq!(before, Verdict::Alone);
    assert!(is_refused(&registry.verdict(at(2), POISON)));
}

#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut registry = SuspectRegistry::default();

    registry.record_crash(at(0), POISON, &crash(1), false);
    registry.record_completion(POISON);

    assert_eq!(registry.verdict(at(1), POISON), Verdict::Run);
}

#[test]
fn a_conviction_expires() {
    let mut registry = SuspectRegistry::default();

    for number in 0..3 {
        registry.record_crash(at(number), POISON, &crash(number), true);
    }
    let Verdict::Refuse(refusal) = registry.verdict(at(10), POISON) else {
        panic!("the request is not refused");
    };
    let later = at(10).after(refusal.retry);

    assert!(refusal.retry <= CRASH_TTL);
    assert_ne!(
        registry.verdict(later, POISON).clone(),
        Verdict::Refuse(refusal)
    );
    assert_eq!(
        registry.verdict(at(10).after(CRASH_TTL), POISON),
        Verdict::Run
    );
}

#[test]
fn fingerprints_differ_between_organisations_models_and_prompts() {
    let org = |name: &str| name.parse().expect("valid name");
    let model = |name: &str| name.parse().expect("valid name");

    let fingerprints = [
        Fingerprint::of(&org("a"), &model("m"), "text"),
        Fingerprint::of(&org("b"), &model("m"), "text"),
        Fingerprint::of(&org("a"), &model("n"), "text"),
        Fingerprint::of(&org("a"), &model("m"), "text2"),
    ];

    let distinct: std::collections::BTreeSet<_> = fingerprints.iter().collect();
    assert_eq!(distinct.len(), fingerprints.len());
    assert_eq!(
        fingerprints[0],
        Fingerprint::of(&org("a"), &model("m"), "text")
    );
}

/// A request that runs on a backend server.
#[derive(Clone)]
struct Running {
    fingerprint: Fingerprint,
    entry: usize,
    alone: bool,
    end: u64,
}

/// Backend servers that crash on the poison request, behind entries that gossip their suspects.
struct World {
    fleet: Fleet,
    rng: StdRng,
    servers: Vec<Vec<Running>>,
    restart_at: Vec<u64>,
    crashes: u64,
    served: u128,
    waiting: Vec<Fingerprint>,
    refused: u64,
    millis: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(ENTRIES, 0, DOMAINS, seed);
        fleet.run(20);
        Self {
            fleet,
            rng: StdRng::seed_from_u64(seed),
            servers: vec![Vec::new(); SERVERS],
            restart_at: vec![0; SERVERS],
            crashes: 0,
            served: 0,
            waiting: Vec::new(),
            refused: 0,
            millis: 0,
        }
    }

    /// Sends a request through a random entry; `false` if it has to wait for a backend server.
    fn send(&mut self, fingerprint: Fingerprint) -> bool {
        let entry = self.rng.random_range(0..ENTRIES);
        let now = self.fleet.now;
        let verdict = self.fleet.processes[entry]
            .suspects()
            .verdict(now, fingerprint);
        if is_refused(&verdict) {
            self.refused += 1;
            assert_eq!(fingerprint, POISON, "a harmless request was convicted");
            return true;
        }
        let alone = verdict != Verdict::Run;
        let Some(server) = self.choose(alone) else {
            return false;
        };
        if verdict == Verdict::Trial {
            let registry = self.fleet.processes[entry].suspects_mut();
            registry.begin_trial(
                now,
                &fingerprint.into(),
                &[fingerprint],
                REQUEST_TRIAL_PAUSE,
            );
            self.fleet.send_urgent(entry);
        }
        let duration = if fingerprint == POISON {
            300
        } else {
            self.rng.random_range(200..2_000)
        };
        let end = self.millis + duration;
        self.servers[server].push(Running {
            fingerprint,
            entry,
            alone,
            end,
        });
        true
    }

    fn choose(&mut self, alone: bool) -> Option<usize> {
        let usable = |i: &usize| {
            let running = &self.servers[*i];
            let shared = running.iter().all(|other| !other.alone);
            self.restart_at[*i] <= self.millis && shared && (!alone || running.is_empty())
        };
        let options: Vec<usize> = (0..SERVERS).filter(usable).collect();
        (!options.is_empty()).then(|| options[self.rng.random_range(0..options.len())])
    }

    fn step(&mut self) {
        self.millis += 100;
        self.fleet.run_steps(1);
        for server in 0..SERVERS {
            let due = |r: &&Running| r.end <= self.millis;
            let ended: Vec<Running> = self.servers[server].iter().filter(due).cloned().collect();
            if ended.iter().any(|r| r.fingerprint == POISON) {
                self.crash(server);
                continue;
            }
            self.servers[server].retain(|r| r.end > self.millis);
            for request in ended {
                self.served += 1;
                let process = &mut self.fleet.processes[request.entry];
                process
                    .suspects_mut()
                    .record_completion(request.fingerprint);
                self.fleet.send_urgent(request.entry);
            }
        }
        for fingerprint in std::mem::take(&mut self.waiting) {
            if !self.send(fingerprint) {
                self.waiting.push(fingerprint);
            }
        }
    }

    fn crash(&mut self, server: usize) {
        self.crashes += 1;
        self.restart_at[server] = self.millis + 5_000;
        let report = crash(self.crashes);
        let now = self.fleet.now;
        for request in std::mem::take(&mut self.servers[server]) {
            let registry = self.fleet.processes[request.entry].suspects_mut();
            registry.record_crash(now, request.fingerprint, &report, request.alone);
            self.fleet.send_urgent(request.entry);
            if request.fingerprint != POISON {
                self.waiting.push(request.fingerprint);
            }
        }
    }

    fn is_running(&self, fingerprint: Fingerprint) -> bool {
        let mut running = self.servers.iter().flatten();
        running.any(|r| r.fingerprint == fingerprint)
    }
}

#[test]
fn a_poison_request_through_changing_entries_crashes_few_servers() {
    for seed in 0..6 {
        let mut world = World::new(seed);
        let mut sent = 0;
        let mut absent_steps = 0;

        for _ in 0..600 {
            if world.rng.random_bool(0.5) {
                sent += 1;
                world.waiting.push(Fingerprint::from_number(sent));
            }
            let is_absent = !world.is_running(POISON) && !world.waiting.contains(&POISON);
            absent_steps = if is_absent { absent_steps + 1 } else { 0 };
            if absent_steps > 10 {
                world.waiting.push(POISON);
            }
            world.step();
        }
        world.waiting.retain(|fingerprint| *fingerprint != POISON);
        for _ in 0..300 {
            world.step();
        }

        let crashes = world.crashes;
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes} crashes");
        assert!(
            world.refused > 10,
            "seed {seed}: {} refusals",
            world.refused
        );
        assert_eq!(world.served, sent, "seed {seed}: harmless requests served");
    }
}

#[test]
fn an_entry_that_starts_later_learns_of_a_conviction() {
    let mut fleet = Fleet::new(ENTRIES, 0, DOMAINS, 7);
    fleet.run(20);
    fleet.down.insert(0);
    let now = fleet.now;
    for number in 0..3 {
        let registry = fleet.processes[1].suspects_mut();
        registry.record_crash(now, POISON, &crash(number), true);
    }

    fleet.send_urgent(1);
    fleet.run(120);
    fleet.down.clear();
    fleet.run(20);

    let now = fleet.now.after(Millis::ZERO);
    let unaware = fleet.entries_without(|m| is_convicted(&m.suspects().verdict(now, POISON)));
    assert!(unaware.is_empty(), "{unaware:?}");
}
