//! Many membership machines in one process, in virtual time, with links that can be cut.

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

/// The steps in one period; each process ticks in one of them.
const STEPS: usize = 10;
const STEP: Millis = Millis(100);

/// What is under way between two processes.
enum Message {
    Call(Gossip),
    Answer(Gossip),
}

/// The fleet and its network; each message takes one step.
pub struct Fleet {
    /// The processes, by number.
    pub machines: Vec<MembershipState>,
    /// The processes that are stopped or frozen.
    pub down: BTreeSet<usize>,
    /// The ordered pairs of processes between which nothing arrives.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The virtual time.
    pub now: MonoTime,
    numbers: HashMap<SocketAddr, usize>,
    flying: Vec<(usize, usize, Message)>,
    seed: u64,
    steps: usize,
}

/// The seed line of process `number` in one of `domains` failure domains.
pub fn seed(number: usize, role: Role, domains: usize) -> Seed {
    let addr = format!("10.{}.{}.1:7000", number / 256, number % 256);
    Seed {
        node: format!("{role}-{number:04}").parse().expect("a name"),
        role,
        addr: addr.parse().expect("an address"),
        domain: format!("domain-{}", number % domains)
            .parse()
            .expect("a name"),
        leaving: false,
    }
}

/// The record of process `number` in its first life.
pub fn member(number: usize, role: Role, domains: usize) -> Member {
    let model = format!("model-{}", number / domains % 3)
        .parse()
        .expect("a name");
    let models = if role == Role::Agent {
        vec![model]
    } else {
        vec![]
    };
    Member::new(seed(number, role, domains), models, Incarnation(1))
}

impl Fleet {
    /// Entries first, then agents, who all know the first entries from their settings.
    pub fn new(entries: usize, agents: usize, domains: usize, rng_seed: u64) -> Self {
        let contacts: Vec<SocketAddr> = (0..entries.min(2 * domains))
            .map(|i| seed(i, Role::Entry, domains).addr)
            .collect();
        let mut fleet = Self {
            machines: Vec::new(),
            down: BTreeSet::new(),
            cuts: BTreeSet::new(),
            now: MonoTime::from_millis(1_000),
            numbers: HashMap::new(),
            flying: Vec::new(),
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
        let number = self.machines.len();
        self.numbers.insert(member.addr, number);
        let rng_seed = self
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(number as u64);
        self.machines
            .push(MembershipState::new(member, contacts, rng_seed));
    }

    /// Puts calls of process `from` on the network.
    pub fn post(&mut self, from: usize, calls: Vec<Outgoing>) {
        for call in calls {
            if let Some(to) = self.numbers.get(&call.addr) {
                self.flying.push((from, *to, Message::Call(call.message)));
            }
        }
    }

    /// Puts on the network what process `from` does not let wait.
    pub fn post_urgent(&mut self, from: usize) {
        let calls = self.machines[from].take_urgent(self.now);
        self.post(from, calls);
    }

    /// Runs for `seconds` of virtual time.
    pub fn run(&mut self, seconds: usize) {
        self.run_counting(seconds, |_, _, _| {});
    }

    /// Runs for `steps` tenths of a second.
    pub fn run_steps(&mut self, steps: usize) {
        self.run_steps_counting(steps, &mut |_, _, _| {});
    }

    /// Runs for `seconds`, telling `count` of each message: sender, receiver and content.
    pub fn run_counting(&mut self, seconds: usize, mut count: impl FnMut(usize, usize, &Gossip)) {
        self.run_steps_counting(seconds * STEPS, &mut count);
    }

    fn run_steps_counting(&mut self, steps: usize, count: &mut impl FnMut(usize, usize, &Gossip)) {
        for _ in 0..steps {
            self.now = self.now.after(STEP);
            self.deliver(count);
            let turn = self.steps % STEPS;
            for number in (turn..self.machines.len()).step_by(STEPS) {
                if !self.down.contains(&number) {
                    let calls = self.machines[number].tick(self.now);
                    self.post(number, calls);
                    self.post_urgent(number);
                }
            }
            self.steps += 1;
        }
    }

    /// Cuts every link between the processes of `left` and all others, both ways.
    pub fn isolate(&mut self, left: &BTreeSet<usize>) {
        for a in 0..self.machines.len() {
            for b in 0..self.machines.len() {
                if left.contains(&a) != left.contains(&b) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    /// The running entries for which `holds` does not hold.
    pub fn entries_without(&self, holds: impl Fn(&MembershipState) -> bool) -> Vec<String> {
        let running = (0..self.machines.len()).filter(|i| !self.down.contains(i));
        running
            .map(|i| &self.machines[i])
            .filter(|machine| machine.me().role == Role::Entry && !holds(machine))
            .map(|machine| machine.me().node.to_string())
            .collect()
    }

    fn deliver(&mut self, count: &mut impl FnMut(usize, usize, &Gossip)) {
        for (from, to, message) in std::mem::take(&mut self.flying) {
            let (Message::Call(news) | Message::Answer(news)) = &message;
            count(from, to, news);
            if self.down.contains(&to) || self.cuts.contains(&(from, to)) {
                continue;
            }
            match message {
                Message::Call(news) => {
                    let answer = self.machines[to].receive(self.now, &news);
                    self.flying.push((to, from, Message::Answer(answer)));
                    self.post_urgent(to);
                }
                Message::Answer(news) => {
                    let calls = self.machines[to].handle_answer(self.now, &news);
                    self.post(to, calls);
                    self.post_urgent(to);
                }
            }
        }
    }
}
