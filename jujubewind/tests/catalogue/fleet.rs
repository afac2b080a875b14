//! A simulated fleet of followers in virtual time, on a network that delays and loses messages.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubewind::catalogue::Catalogue;
use jujubewind::catalogue::ContentHash;
use jujubewind::catalogue::Head;
use jujubewind::catalogue::follow::Answer;
use jujubewind::catalogue::follow::Follower;
use jujubewind::catalogue::follow::Output;
use jujubewind::catalogue::follow::Query;
use jujubewind::catalogue::follow::Source;
use jujubewind::catalogue::follow::Update;
use jujubewind::catalogue::follow::children;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::NodeId;
use jujubewind::types::Revision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The number of failure domains; the first member of each watches the store.
pub const DOMAINS: usize = 7;

/// The interval at which a member checks its pending queries.
const TICK_MILLIS: u64 = 250;

/// Ticks between two gossip rounds.
const GOSSIP_TICKS: u64 = 4;

enum Event {
    Tick,
    Gossip(usize, Revision),
    GossipReply(usize, Revision),
    Query(usize, Query),
    Answer(Source, Answer),
    Update(Source, Update),
}

/// One process: its follower and the catalogues that it installed.
pub struct Member {
    /// Whether the member is running.
    pub up: bool,
    /// The catalogues installed since the last start.
    pub installed: Vec<Arc<Catalogue>>,
    follower: Follower,
    ticks: u64,
}

/// The members, the store that they read and the messages in transit.
pub struct Fleet {
    /// The members; member `n` is in the failure domain `n % DOMAINS`.
    pub members: Vec<Member>,
    /// The head in the store.
    pub head: Option<Head>,
    /// The pages and parts in the store.
    pub texts: BTreeMap<ContentHash, Arc<str>>,
    /// Whether the store is up.
    pub store_up: bool,
    /// The probability that a message between processes is lost.
    pub loss: f64,
    /// Whether members gossip their revisions.
    pub gossip: bool,
    /// Number of calls to the store, not counting watches.
    pub store_calls: u64,
    /// Number of calls to the store in each second.
    pub calls_by_second: BTreeMap<u64, u64>,
    rng: SmallRng,
    now: u64,
    event_count: u64,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
}

fn node(index: usize) -> NodeId {
    format!("n{index:04}").parse().expect("valid name")
}

fn index(node: &NodeId) -> usize {
    node.as_str()[1..].parse().expect("a number")
}

impl Fleet {
    /// Creates a fleet of `size` members that boot within the first second.
    pub fn new(size: usize, seed: u64) -> Self {
        let mut fleet = Self {
            members: Vec::new(),
            head: None,
            texts: BTreeMap::new(),
            store_up: true,
            loss: 0.0,
            gossip: true,
            store_calls: 0,
            calls_by_second: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            event_count: 0,
            queue: BTreeMap::new(),
        };
        for member in 0..size {
            fleet.members.push(Member {
                up: true,
                installed: Vec::new(),
                follower: Follower::default(),
                ticks: 0,
            });
            let delay = fleet.rng.random_range(0..1_000);
            fleet.send_after(delay, member, Event::Tick);
        }
        fleet
    }

    /// Stops a member, which loses its state when it starts again.
    pub fn stop(&mut self, member: usize) {
        self.members[member].up = false;
    }

    /// Starts a member with an empty state.
    pub fn start(&mut self, member: usize) {
        let restarted = &mut self.members[member];
        restarted.up = true;
        restarted.follower = Follower::default();
        restarted.installed.clear();
        restarted.ticks = 0;
    }

    /// Writes a revision to the store and notifies the watches.
    pub fn publish(&mut self, head: Head, texts: BTreeMap<ContentHash, Arc<str>>) {
        self.texts.extend(texts);
        self.head = Some(head);
        self.open_watches();
    }

    /// Sends the head to the watching member of each failure domain, as when a watch is opened.
    pub fn open_watches(&mut self) {
        for watcher in 0..DOMAINS {
            self.notify_watcher(watcher);
        }
    }

    /// Advances virtual time by `millis` and handles the events due until then.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(time, _), _)) = self.queue.first_key_value() {
            if time > end {
                break;
            }
            let ((time, _), (member, event)) = self.queue.pop_first().expect("an event");
            self.now = time;
            self.handle(member, event);
        }
        self.now = end;
    }

    /// The lowest revision of the running members.
    pub fn lowest_revision(&self) -> Revision {
        let up = self.members.iter().filter(|member| member.up);
        let revisions = up.map(|member| member.follower.revision());
        revisions.min().unwrap_or_default()
    }

    /// Runs until all running members have `revision` and returns the seconds it took, at most 60.
    pub fn seconds_until(&mut self, revision: Revision) -> f64 {
        let begin = self.now;
        while self.lowest_revision() < revision && self.now < begin + 60_000 {
            self.run(10);
        }
        f64::from(u32::try_from(self.now - begin).expect("short")) / 1_000.0
    }

    fn notify_watcher(&mut self, watcher: usize) {
        let Some(head) = self.head.clone() else {
            return;
        };
        if self.store_up {
            let texts = Vec::new();
            let root = node(watcher);
            let update = Update { head, texts, root };
            self.send_after(5, watcher, Event::Update(Source::Store, update));
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now)
    }

    fn send_after(&mut self, delay: u64, member: usize, event: Event) {
        self.event_count += 1;
        let key = (self.now + delay, self.event_count);
        self.queue.insert(key, (member, event));
    }

    fn send(&mut self, member: usize, event: Event) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.rng.random_range(2..40);
        self.send_after(delay, member, event);
    }

    fn handle(&mut self, member: usize, event: Event) {
        if let Event::Tick = event {
            return self.tick(member);
        }
        if !self.members[member].up {
            return;
        }
        let now = self.now();
        let follower = &mut self.members[member].follower;
        let outputs = match event {
            Event::Tick => Vec::new(),
            Event::Gossip(from, revision) => {
                let own = follower.revision();
                let outputs = follower.handle_revision(now, &node(from), revision);
                self.send(from, Event::GossipReply(member, own));
                outputs
            }
            Event::GossipReply(from, revision) => {
                follower.handle_revision(now, &node(from), revision)
            }
            Event::Answer(source, answer) => follower.handle_answer(now, &source, answer),
            Event::Update(source, update) => follower.handle_update(now, &source, update),
            Event::Query(from, query) => {
                let answer = follower.answer(&query);
                self.send(from, Event::Answer(Source::Peer(node(member)), answer));
                Vec::new()
            }
        };
        self.perform(member, outputs);
    }

    fn tick(&mut self, member: usize) {
        self.send_after(TICK_MILLIS, member, Event::Tick);
        if !self.members[member].up {
            return;
        }
        let now = self.now();
        let ticks = self.members[member].ticks;
        self.members[member].ticks += 1;
        let outputs = if ticks == 0 {
            let peers: Vec<NodeId> = (0..3).map(|_| node(self.random_member())).collect();
            let spread = Millis(self.rng.random_range(0..1_000));
            self.members[member].follower.boot(now, &peers, spread)
        } else {
            self.members[member].follower.tick(now)
        };
        self.perform(member, outputs);
        if self.gossip && ticks.is_multiple_of(GOSSIP_TICKS) {
            let revision = self.members[member].follower.revision();
            for _ in 0..2 {
                let peer = self.random_member();
                self.send(peer, Event::Gossip(member, revision));
            }
        }
    }

    fn random_member(&mut self) -> usize {
        self.rng.random_range(0..self.members.len())
    }

    fn perform(&mut self, member: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Query(Source::Store, query) => self.query_store(member, &query),
                Output::Query(Source::Peer(peer), query) => {
                    self.send(index(&peer), Event::Query(member, query));
                }
                Output::Install(catalogue) => self.members[member].installed.push(catalogue),
                Output::Relay(update) => self.relay(member, &update),
                Output::Refuse(source, error) => panic!("{source:?}: {error}"),
            }
        }
    }

    fn relay(&mut self, member: usize, update: &Update) {
        let domain = (0..self.members.len()).filter(|other| other % DOMAINS == member % DOMAINS);
        let domain: Vec<NodeId> = domain.map(node).collect();
        for child in children(&domain, &update.root, &node(member)) {
            let event = Event::Update(Source::Peer(node(member)), update.clone());
            self.send(index(&child), event);
        }
    }

    fn query_store(&mut self, member: usize, query: &Query) {
        if !self.store_up {
            return;
        }
        let texts = |hash: &ContentHash| self.texts.get(hash).map(ToString::to_string);
        let (calls, answer) = match query {
            Query::Head => (1, Answer::Head(self.head.clone())),
            Query::Texts(hashes) => {
                let found = hashes.iter().filter_map(texts).collect();
                (hashes.len(), Answer::Texts(found))
            }
        };
        self.store_calls += calls as u64;
        *self.calls_by_second.entry(self.now / 1_000).or_default() += calls as u64;
        self.send_after(5, member, Event::Answer(Source::Store, answer));
    }
}
