//! A request that crashes backend servers is stopped; those that shared with it are served.

use jujubewind::conviction::Crash;
use jujubewind::conviction::Fingerprint;
use jujubewind::conviction::SuspectRegistry;
use jujubewind::conviction::Verdict;
use jujubewind::conviction::limits::CRASH_TTL;
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
/// The most backend servers that one request may crash, whatever entries it comes through.
const MOST_CRASHES: u64 = 4;
const POISON: Fingerprint = Fingerprint::from_number(0);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn crash(number: u64) -> Crash {
    Crash {
        node: "agent-1".parse().expect("a name"),
        incarnation: Incarnation(1),
        number,
    }
}

fn is_refused(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Refuse(refusal) if refusal.reason == Reason::Convicted)
}

#[test]
fn a_crash_makes_a_suspect_that_runs_alone() {
    let mut register = SuspectRegistry::default();

    register.record_crash(at(0), POISON, &crash(1), false);

    assert_eq!(register.verdict(at(1), POISON), Verdict::Alone);
}

#[test]
fn one_crash_reported_twice_counts_once() {
    let mut register = SuspectRegistry::default();

    for _ in 0..5 {
        register.record_crash(at(0), POISON, &crash(1), true);
    }

    assert_eq!(register.verdict(at(1), POISON), Verdict::Alone);
}

#[test]
fn a_suspect_that_crashes_two_more_servers_alone_is_convicted() {
    let mut register = SuspectRegistry::default();

    register.record_crash(at(0), POISON, &crash(1), false);
    register.record_crash(at(1), POISON, &crash(2), true);
    let before = register.verdict(at(1), POISON);
    register.record_crash(at(2), POISON, &crash(3), true);

    assert_eq!(before, Verdict::Alone);
    assert!(is_refused(&register.verdict(at(2), POISON)));
}

#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut register = SuspectRegistry::default();

    register.record_crash(at(0), POISON, &crash(1), false);
    register.record_completion(POISON);

    assert_eq!(register.verdict(at(1), POISON), Verdict::Run);
}

#[test]
fn a_false_conviction_ends() {
    let mut register = SuspectRegistry::default();

    for number in 0..3 {
        register.record_crash(at(number), POISON, &crash(number), true);
    }
    let Verdict::Refuse(refusal) = register.verdict(at(10), POISON) else {
        panic!("convicted");
    };
    let later = at(10).after(refusal.retry);

    assert!(refusal.retry <= CRASH_TTL);
    assert_ne!(
        register.verdict(later, POISON).clone(),
        Verdict::Refuse(refusal)
    );
    assert_eq!(
        register.verdict(at(10).after(CRASH_TTL), POISON),
        Verdict::Run
    );
}

#[test]
fn fingerprints_tell_organisations_models_and_prompts_apart() {
    let org = |name: &str| name.parse().expect("a name");
    let model = |name: &str| name.parse().expect("a name");

    let prints = [
        Fingerprint::of(&org("a"), &model("m"), "text"),
        Fingerprint::of(&org("b"), &model("m"), "text"),
        Fingerprint::of(&org("a"), &model("n"), "text"),
        Fingerprint::of(&org("a"), &model("m"), "text2"),
    ];

    let distinct: std::collections::BTreeSet<_> = prints.iter().collect();
    assert_eq!(distinct.len(), prints.len());
    assert_eq!(prints[0], Fingerprint::of(&org("a"), &model("m"), "text"));
}

/// A request at a backend server.
#[derive(Clone)]
struct Running {
    print: Fingerprint,
    entry: usize,
    alone: bool,
    end: u64,
}

/// Backend servers that die of the poisonous request, before entries that share suspects.
struct World {
    fleet: Fleet,
    rng: StdRng,
    servers: Vec<Vec<Running>>,
    restart: Vec<u64>,
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
            restart: vec![0; SERVERS],
            crashes: 0,
            served: 0,
            waiting: Vec::new(),
            refused: 0,
            millis: 0,
        }
    }

    /// Sends a request through any entry; `false` if it has to wait for a backend server.
    fn send(&mut self, print: Fingerprint) -> bool {
        let entry = self.rng.random_range(0..ENTRIES);
        let now = self.fleet.now;
        let verdict = self.fleet.machines[entry].suspects().verdict(now, print);
        if is_refused(&verdict) {
            self.refused += 1;
            assert_eq!(print, POISON, "an innocent request was convicted");
            return true;
        }
        let alone = verdict == Verdict::Alone;
        let Some(server) = self.choose(alone) else {
            return false;
        };
        let span = if print == POISON {
            300
        } else {
            self.rng.random_range(200..2_000)
        };
        let end = self.millis + span;
        self.servers[server].push(Running {
            print,
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
            self.restart[*i] <= self.millis && shared && (!alone || running.is_empty())
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
            if ended.iter().any(|r| r.print == POISON) {
                self.crash(server);
                continue;
            }
            self.servers[server].retain(|r| r.end > self.millis);
            for request in ended {
                self.served += 1;
                let machine = &mut self.fleet.machines[request.entry];
                machine.suspects_mut().record_completion(request.print);
                self.fleet.post_urgent(request.entry);
            }
        }
        for print in std::mem::take(&mut self.waiting) {
            if !self.send(print) {
                self.waiting.push(print);
            }
        }
    }

    fn crash(&mut self, server: usize) {
        self.crashes += 1;
        self.restart[server] = self.millis + 5_000;
        let report = crash(self.crashes);
        let now = self.fleet.now;
        for request in std::mem::take(&mut self.servers[server]) {
            let register = self.fleet.machines[request.entry].suspects_mut();
            register.record_crash(now, request.print, &report, request.alone);
            self.fleet.post_urgent(request.entry);
            if request.print != POISON {
                self.waiting.push(request.print);
            }
        }
    }

    fn runs(&self, print: Fingerprint) -> bool {
        let mut running = self.servers.iter().flatten();
        running.any(|r| r.print == print)
    }
}

#[test]
fn a_poisonous_request_through_ever_other_entries_crashes_few_servers() {
    for seed in 0..6 {
        let mut world = World::new(seed);
        let mut sent = 0;
        let mut resend = 0;

        for _ in 0..600 {
            if world.rng.random_bool(0.5) {
                sent += 1;
                world.waiting.push(Fingerprint::from_number(sent));
            }
            let silent = !world.runs(POISON) && !world.waiting.contains(&POISON);
            resend = if silent { resend + 1 } else { 0 };
            if resend > 10 {
                world.waiting.push(POISON);
            }
            world.step();
        }
        world.waiting.retain(|print| *print != POISON);
        for _ in 0..300 {
            world.step();
        }

        let crashes = world.crashes;
        assert!(crashes <= MOST_CRASHES, "seed {seed}: {crashes} crashes");
        assert!(
            world.refused > 10,
            "seed {seed}: {} refusals",
            world.refused
        );
        assert_eq!(world.served, sent, "seed {seed}: innocent requests served");
    }
}

#[test]
fn an_entry_that_starts_later_learns_of_a_conviction() {
    let mut fleet = Fleet::new(ENTRIES, 0, DOMAINS, 7);
    fleet.run(20);
    fleet.down.insert(0);
    let now = fleet.now;
    for number in 0..3 {
        let register = fleet.machines[1].suspects_mut();
        register.record_crash(now, POISON, &crash(number), true);
    }

    fleet.post_urgent(1);
    fleet.run(120);
    fleet.down.clear();
    fleet.run(20);

    let now = fleet.now.after(Millis::ZERO);
    let unaware = fleet.entries_without(|m| is_refused(&m.suspects().verdict(now, POISON)));
    assert!(unaware.is_empty(), "{unaware:?}");
}
