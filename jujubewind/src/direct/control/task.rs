//! The task that owns the shared state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use super::Control;
use super::Core;
use super::CoreSettings;
use super::FleetChange;
use super::Message;
use super::Outcome;
use super::Verdict;
use super::limits::REFRESH;
use super::limits::TICK;
use super::limits::UPKEEP;
use crate::conviction::Fingerprint;
use crate::direct::Digest;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::OutboundDigest;
use crate::direct::ServerId;
use crate::direct::Shared;
use crate::direct::Stamp;
use crate::timer::TimerService;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::NodeId;

/// The rows of one datagram: together they stay below the least link's packet.
const ROWS: usize = 16;

/// The state and what it is told through.
struct Task {
    core: Core,
    timer: TimerService,
    shared: Shared,
    node: NodeId,
    stamp: Stamp,
    peers: BTreeMap<NodeId, SocketAddr>,
    outbound: Sender<OutboundDigest>,
    replies: HashMap<JobId, Sender<Verdict>>,
    changed: bool,
    refreshed: MonoTime,
    kept: MonoTime,
}

/// Starts the control task of `node`; what peers should hear leaves through `parcels`.
#[must_use]
pub fn start(
    (node, life): (NodeId, Incarnation),
    settings: CoreSettings,
    timer: &TimerService,
    shared: Shared,
    outbound: Sender<OutboundDigest>,
) -> Control {
    let (tx, messages) = flume::unbounded();
    let control = Control::new(tx);
    let now = timer.clock().now();
    let task = Task {
        core: Core::new(settings, now),
        timer: timer.clone(),
        shared,
        node,
        stamp: Stamp { life, number: 0 },
        peers: BTreeMap::new(),
        outbound,
        replies: HashMap::new(),
        changed: false,
        refreshed: now,
        kept: now,
    };
    let ticks = timer.subscribe(TICK);
    compio::runtime::spawn(forward(ticks, control.clone())).detach();
    compio::runtime::spawn(task.run(messages)).detach();
    control
}

async fn forward(ticks: Receiver<MonoTime>, control: Control) {
    while let Ok(now) = ticks.recv_async().await {
        control.send(Message::Tick(now));
    }
}

impl Task {
    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv_async().await {
            let now = self.timer.clock().now();
            self.take(now, message);
            for message in messages.try_iter() {
                self.take(now, message);
            }
            self.poll(now);
            self.tell(now);
        }
    }

    fn take(&mut self, now: MonoTime, message: Message) {
        match message {
            Message::Place {
                job,
                print,
                again,
                reply,
            } => self.ask(now, job, print, again, reply),
            Message::Withdraw(job) => {
                self.replies.remove(&job);
                self.core.withdraw(job);
                self.changed = true;
            }
            Message::Prefilled(job) => {
                self.core.mark_prefilled(job);
                self.changed = true;
            }
            Message::Finished {
                job,
                server,
                print,
                outcome,
            } => self.finish(now, job, &server, print, outcome),
            Message::HelperFailed(server) => self.core.pass_over(now, &server),
            Message::Retry { service, reply } => {
                let granted = self.core.take_retry(now, &service);
                if granted {
                    self.shared.metrics.count_retry();
                }
                let _ = reply.send(granted);
            }
            Message::Configure(table) => self.core.configure(table),
            Message::Fleet(news) => self.fleet(now, news),
            Message::PeerLoad(digest) => {
                self.core.merge(now, digest);
                self.changed = true;
            }
            Message::Tick(_) => self.tick(now),
        }
    }

    fn ask(
        &mut self,
        now: MonoTime,
        job: Job,
        print: Fingerprint,
        again: bool,
        reply: Sender<Verdict>,
    ) {
        let id = job.id;
        let verdict = if again {
            self.core.ask(now, job)
        } else {
            self.core.arrive(now, job, print)
        };
        match verdict {
            Some(verdict) => self.answer(id, &reply, verdict),
            None => {
                self.replies.insert(id, reply);
            }
        }
    }

    /// A request whose task has ended meanwhile gives back what it was given.
    fn answer(&mut self, job: JobId, reply: &Sender<Verdict>, verdict: Verdict) {
        if reply.send(verdict).is_err() {
            self.core.withdraw(job);
        }
    }

    fn finish(
        &mut self,
        now: MonoTime,
        job: JobId,
        server: &ServerId,
        print: Fingerprint,
        outcome: Outcome,
    ) {
        self.shared.metrics.count_outcome(outcome);
        self.core.finish(now, job, server, print, outcome);
        self.changed = true;
        if matches!(outcome, Outcome::Unreachable | Outcome::Silent) {
            self.shared.pool.forget(server);
        }
    }

    fn fleet(&mut self, now: MonoTime, news: FleetChange) {
        match &news {
            FleetChange::Servers(_) => self.shared.state.mark_listed(),
            FleetChange::Peers(peers) => self.peers = peers.iter().cloned().collect(),
            FleetChange::PeerListed(node, addr) => {
                self.peers.insert(node.clone(), *addr);
            }
            FleetChange::PeerRemoved(node) => {
                self.peers.remove(node);
            }
            _ => {}
        }
        for server in self.core.fleet(now, news) {
            self.shared.pool.forget(&server);
        }
        self.changed = true;
    }

    fn tick(&mut self, now: MonoTime) {
        self.changed |= self.core.has_waiting();
        if now.since(self.kept) < UPKEEP {
            return;
        }
        self.kept = now;
        self.shared.state.set_counts(self.core.counts(now));
        for server in self.core.upkeep(now) {
            crate::event!(warn, "server_lapsed", server = server);
            self.shared.pool.forget(&server);
        }
    }

    /// Answers those that need not wait any more.
    fn poll(&mut self, now: MonoTime) {
        if !std::mem::take(&mut self.changed) || !self.core.has_waiting() {
            return;
        }
        for (job, verdict) in self.core.poll(now) {
            if let Some(reply) = self.replies.remove(&job) {
                self.answer(job, &reply, verdict);
            }
        }
    }

    /// Tells peers what changed, and everything now and then.
    fn tell(&mut self, now: MonoTime) {
        if self.peers.is_empty() {
            return;
        }
        let all = now.since(self.refreshed) >= REFRESH;
        if all {
            self.refreshed = now;
        }
        let (rows, suspects) = self.core.news(now, all);
        if rows.is_empty() && suspects.is_empty() && !all {
            return;
        }
        self.stamp.number += 1;
        let mut suspects = Some(suspects);
        let mut chunks: Vec<_> = rows.chunks(ROWS).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let to: Rc<[SocketAddr]> = self.peers.values().copied().collect();
        for rows in chunks {
            let digest = Digest {
                node: self.node.clone(),
                stamp: self.stamp,
                rows,
                suspects: suspects.take().unwrap_or_default(),
            };
            let to = to.clone();
            let _ = self.outbound.send(OutboundDigest { digest, to });
        }
    }
}
