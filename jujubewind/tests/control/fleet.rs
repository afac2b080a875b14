//! A simulated fleet: many membership state machines in virtual time, over links that can be cut.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use jujubewind::membership::Member;
use jujubewind::membership::MembershipState;
use jujubewind::membership::Outgoing;
use jujubewind::membership::Role;
use jujubewind::membership::Seed;
use jujubewind::rpc::message::Gossip;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;

/// Steps in one gossip period; each process ticks in one of them.
const STEPS: usize = 10;
const STEP: Millis = Millis(100);

/// A message in transit between two processes.
enum Message {
    Call(Gossip),
    Answer(Gossip),
}

/// The fleet and its network; each message takes one step.
pub struct Fleet {
    /// The processes, by number.
    pub processes: Vec<MembershipState>,
    /// The processes that are stopped or frozen.
    pub down: BTreeSet<usize>,
    /// The ordered pairs of processes between which nothing arrives.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The virtual time.
    pub now: MonoTime,
    numbers: HashMap<SocketAddr, usize>,
    in_transit: Vec<(usize, usize, Message)>,
    seed: u64,
    steps: usize,
}

/// The seed record of process `number`, in one of `domains` failure domains.
pub fn seed(number: usize, role: Role, domains: usize) -> Seed {
    let addr = format!("10.{}.{}.1:7000", number / 256, number % 256);
    Seed {
        node: format!("{role}-{number:04}").parse().expect("valid name"),
        role,
        addr: addr.parse().expect("valid address"),
        domain: format!("domain-{}", number % domains)
            .parse()
            .expect("valid name"),
        leaving: false,
    }
}

/// The member record of process `number` in its first incarnation.
pub fn member(number: usize, role: Role, domains: usize) -> Member {
    let model = format!("model-{}", number / domains % 3)
        .parse()
        .expect("valid name");
    let models = if role == Role::Agent {
        vec![model]
    } else {
        vec![]
    };
    Member::new(seed(number, role, domains), models, Incarnation(1))
}

impl Fleet {
    /// Creates the entries, then the agents; the settings of all of them name the first entries.
    pub fn new(entries: usize, agents: usize, domains: usize, rng_seed: u64) -> Self {
        let contacts: Vec<SocketAddr> = (0..entries.min(2 * domains))
            .map(|i| seed(i, Role::Entry, domains).addr)
            .collect();
        let mut fleet = Self {
            processes: Vec::new(),
            down: BTreeSet::new(),
            cuts: BTreeSet::new(),
            now: MonoTime::from_millis(1_000),
            numbers: HashMap::new(),
            in_transit: Vec::new(),
            seed: rng_seed,
            steps: 0,
        };
        for number in 0..entries + agents {
            let role = if number < entries {
                Role::Entry
            } else {
                Role::Agent
            };
            fleet.add(member(number, role, domains), &contacts);
        }
        fleet
    }

    /// Adds a process.
    pub fn add(&mut self, member: Member, contacts: &[SocketAddr]) {
        let number = self.processes.len();
        self.numbers.insert(member.addr, number);
        let rng_seed = self
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(number as u64);
        self.processes
            .push(MembershipState::new(member, contacts, rng_seed));
    }

    /// Sends the calls of process `from`.
    pub fn send(&mut self, from: usize, calls: Vec<Outgoing>) {
        for call in calls {
            if let Some(to) = self.numbers.get(&call.addr) {
                self.in_transit
                    .push((from, *to, Message::Call(call.message)));
            }
        }
    }

    /// Sends the messages of process `from` that do not wait for its next tick.
    pub fn send_urgent(&mut self, from: usize) {
        let calls = self.processes[from].take_urgent(self.now);
        self.send(from, calls);
    }

    /// Runs for `seconds` of virtual time.
    pub fn run(&mut self, seconds: usize) {
        self.run_counting(seconds, |_, _, _| {});
    }

    /// Runs for `steps` steps of a tenth of a second.
    pub fn run_steps(&mut self, steps: usize) {
        self.run_steps_counting(steps, &mut |_, _, _| {});
    }

    /// Runs for `seconds`, calling `count` with the sender, receiver and content of each message.
    pub fn run_counting(&mut self, seconds: usize, mut count: impl FnMut(usize, usize, &Gossip)) {
        self.run_steps_counting(seconds * STEPS, &mut count);
    }

    fn run_steps_counting(&mut self, steps: usize, count: &mut impl FnMut(usize, usize, &Gossip)) {
        for _ in 0..steps {
            self.now = self.now.after(STEP);
            self.deliver(count);
            let turn = self.steps % STEPS;
            for number in (turn..self.processes.len()).step_by(STEPS) {
                if !self.down.contains(&number) {
                    let calls = self.processes[number].tick(self.now);
                    self.send(number, calls);
                    self.send_urgent(number);
                }
            }
            self.steps += 1;
        }
    }

    /// Cuts every link between the processes of `group` and all others, in both directions.
    pub fn isolate(&mut self, group: &BTreeSet<usize>) {
        for a in 0..self.processes.len() {
            for b in 0..self.processes.len() {
                if group.contains(&a) != group.contains(&b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    /// The names of the running entries whose state does not satisfy `predicate`.
    pub fn entries_without(&self, predicate: impl Fn(&MembershipState) -> bool) -> Vec<String> {
        let running = (0..self.processes.len()).filter(|i| !self.down.contains(i));
        running
            .map(|i| &self.processes[i])
            .filter(|process| process.me().role == Role::Entry && !predicate(process))
            .map(|process| process.me().node.to_string())
            .collect()
    }

    fn deliver(&mut self, count: &mut impl FnMut(usize, usize, &Gossip)) {
        for (from, to, message) in std::mem::take(&mut self.in_transit) {
            let (Message::Call(gossip) | Message::Answer(gossip)) = &message;
            count(from, to, gossip);
            if self.down.contains(&to) || self.cuts.contains(&(from, to)) {
                continue;
            }
            match message {
                Message::Call(gossip) => {
                    let answer = self.processes[to].receive(self.now, &gossip);
                    self.in_transit.push((to, from, Message::Answer(answer)));
                    self.send_urgent(to);
                }
                Message::Answer(gossip) => {
                    let calls = self.processes[to].handle_answer(self.now, &gossip);
                    self.send(to, calls);
                    self.send_urgent(to);
                }
            }
        }
    }
}
