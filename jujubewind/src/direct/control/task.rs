//! The control task, which owns the scheduling state and serializes access to it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;
use flume::TrySendError;

use super::Control;
use super::Core;
use super::CoreSettings;
use super::FleetChange;
use super::Message;
use super::Outcome;
use super::Retry;
use super::Verdict;
use super::limits::EXPIRY_PERIOD;
use super::limits::TICK_PERIOD;
use crate::conviction::ConvictionChange;
use crate::conviction::Prints;
use crate::direct::BootTime;
use crate::direct::Datagram;
use crate::direct::Job;
use crate::direct::JobId;
use crate::direct::OutboundDatagram;
use crate::direct::PeerRoutes;
use crate::direct::ServerId;
use crate::direct::Shared;
use crate::direct::Stamp;
use crate::timer::TimerService;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::NodeId;

/// The scheduling state with its channels and timers.
pub(super) struct Task {
    pub(super) core: Core,
    pub(super) timer: TimerService,
    pub(super) shared: Shared,
    pub(super) node: NodeId,
    pub(super) stamp: Stamp,
    pub(super) routes: PeerRoutes,
    /// One entry of each other failure domain, which passes updates on.
    pub(super) relays: Rc<[SocketAddr]>,
    /// The number of full updates, which take turns among the relays.
    pub(super) turn: u64,
    pub(super) outbound: Sender<OutboundDatagram>,
    pub(super) convictions: Sender<ConvictionChange>,
    pub(super) replies: HashMap<JobId, Sender<Verdict>>,
    /// Whether something changed that may allow queued requests to be placed.
    pub(super) dirty: bool,
    /// Servers that named a limit which could not be read, each logged once.
    pub(super) unread_limits: BTreeSet<ServerId>,
    /// Whether a backend server announced something that the peers have not been told.
    pub(super) has_notices: bool,
    pub(super) last_full_update: MonoTime,
    pub(super) last_expiry: MonoTime,
}

/// Starts the control task of `node`, which sends digests for its peers to `outbound`, and what has to
/// outlast the entries to `convictions`.
#[must_use]
pub fn start(
    (node, incarnation): (NodeId, Incarnation),
    settings: CoreSettings,
    timer: &TimerService,
    shared: Shared,
    outbound: Sender<OutboundDatagram>,
    convictions: Sender<ConvictionChange>,
) -> Control {
    let (tx, messages) = flume::unbounded();
    let control = Control::new(tx);
    let now = timer.clock().now();
    let routes = PeerRoutes::new(node.clone(), settings.domain.clone());
    let task = Task {
        core: Core::new(settings, now),
        timer: timer.clone(),
        shared,
        node,
        stamp: Stamp {
            life: incarnation,
            number: 0,
        },
        routes,
        relays: Rc::new([]),
        turn: 0,
        outbound,
        convictions,
        replies: HashMap::new(),
        dirty: false,
        unread_limits: BTreeSet::new(),
        has_notices: false,
        last_full_update: now,
        last_expiry: now,
    };
    let ticks = timer.subscribe(TICK_PERIOD);
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
            self.handle(now, message);
            for message in messages.try_iter() {
                self.handle(now, message);
            }
            self.poll(now);
            self.send_updates(now);
            self.keep_convictions(now);
        }
    }

    fn handle(&mut self, now: MonoTime, message: Message) {
        match message {
            Message::Place {
                job,
                prints,
                is_retry,
                reply,
            } => self.place(now, job, prints, is_retry, reply),
            Message::Withdraw(job) => {
                self.replies.remove(&job);
                self.core.withdraw(job);
                self.dirty = true;
            }
            Message::Prefilled(job) => {
                self.core.mark_prefilled(job);
                self.dirty = true;
            }
            Message::Finished {
                job,
                server,
                prints,
                outcome,
            } => self.finish(now, job, &server, prints, outcome),
            Message::Progressed { job, prints } => self.core.mark_progressed(now, job, &prints),
            Message::Notice {
                server,
                notice,
                sent,
            } => self.record_notice(now, &server, notice, sent),
            Message::OrderSent(server) => self.core.record_order(now, &server),
            Message::HelperFailed(server) => self.core.quarantine(now, &server),
            Message::Retry {
                service,
                control,
                reply,
            } => {
                let is_granted = self.core.take_retry(now, &service);
                let _ = reply.send(is_granted.then(|| Retry::new(control, service, now)));
            }
            Message::UnusedRetry { service, taken } => self.core.give_back(&service, taken),
            Message::Configure(table) => self.core.configure(now, table),
            Message::Fleet(change) => self.apply_fleet_change(now, change),
            Message::Convicted(suspects) => self.core.restore_convictions(now, &suspects),
            Message::PeerLoad { digest, pass_on } => {
                if pass_on {
                    self.send_digest(Datagram::Load(digest.clone()), self.routes.near());
                }
                self.merge(now, digest);
            }
            Message::Drain => {
                let verdicts = self.core.drain();
                self.send_verdicts(verdicts);
            }
            Message::Tick(_) => self.tick(now),
        }
    }

    fn place(
        &mut self,
        now: MonoTime,
        job: Job,
        prints: Prints,
        is_retry: bool,
        reply: Sender<Verdict>,
    ) {
        let id = job.id;
        let verdict = if is_retry {
            self.core.readmit(now, job, prints)
        } else {
            self.core.admit(now, job, prints)
        };
        match verdict {
            Some(verdict) => self.send_verdict(id, &reply, verdict),
            None => {
                self.replies.insert(id, reply);
            }
        }
    }

    fn send_verdicts(&mut self, verdicts: Vec<(JobId, Verdict)>) {
        for (job, verdict) in verdicts {
            if let Some(reply) = self.replies.remove(&job) {
                self.send_verdict(job, &reply, verdict);
            }
        }
    }

    /// Sends a verdict; releases the placement if the request's task has ended.
    fn send_verdict(&mut self, job: JobId, reply: &Sender<Verdict>, verdict: Verdict) {
        if reply.send(verdict).is_err() {
            self.core.withdraw(job);
        }
    }

    fn finish(
        &mut self,
        now: MonoTime,
        job: JobId,
        server: &ServerId,
        prints: Prints,
        outcome: Outcome,
    ) {
        self.shared.metrics.count_outcome(outcome);
        self.core.finish(now, job, server, prints, outcome);
        self.dirty = true;
        if matches!(outcome, Outcome::Unreachable | Outcome::Silent) {
            self.shared.pool.forget(server);
        }
    }

    fn apply_fleet_change(&mut self, now: MonoTime, change: FleetChange) {
        match &change {
            FleetChange::Servers(_) | FleetChange::Restored(_) => self.shared.state.mark_listed(),
            FleetChange::Peers(peers) => {
                self.routes.replace_all(peers.clone());
                self.choose_relays(now);
            }
            FleetChange::PeerListed(peer) => {
                self.routes.insert(peer.clone());
                self.choose_relays(now);
                self.greet(now, peer.addr);
            }
            FleetChange::PeerRemoved(node) => {
                self.routes.remove(node);
                self.choose_relays(now);
            }
            _ => {}
        }
        let listed = change.listed();
        let gone = self.core.apply_fleet_change(now, change);
        for (server, started) in listed {
            if self.core.lists(&server, started) {
                let state = &self.shared.state;
                state.record_listing(BootTime::now(), &server, started);
            }
        }
        for server in gone {
            self.forget_server(server);
        }
        if self.core.take_delisted() {
            self.publish_notices();
        }
        self.dirty = true;
    }

    fn tick(&mut self, now: MonoTime) {
        self.dirty |= self.core.has_waiting();
        if now.since(self.last_expiry) < EXPIRY_PERIOD {
            return;
        }
        self.last_expiry = now;
        self.shared.state.set_counts(self.core.counts(now));
        self.shared.metrics.count_held(self.core.take_held());
        for server in self.core.expire(now) {
            crate::event!(warn, "server_lapsed", server = server);
            self.forget_server(server);
        }
        self.publish_notices();
    }

    /// Publishes who takes no requests, for those that were placed and are not yet sent.
    pub(super) fn publish_notices(&self) {
        self.shared.state.set_notices(self.core.notices().clone());
    }

    fn forget_server(&mut self, server: ServerId) {
        self.shared.pool.forget(&server);
        self.unread_limits.remove(&server);
        let now = BootTime::now();
        let state = &self.shared.state;
        if self.core.lists_any(&server) {
            state.record_restart(now, server);
        } else {
            let started = self.core.removed(&server);
            state.record_absence(now, server, started);
        }
    }

    /// Passes on what has to outlast the entries. What finds no room is kept with its next change, or
    /// when it is due anew.
    fn keep_convictions(&mut self, now: MonoTime) {
        for conviction in self.core.take_convictions(now) {
            let print = conviction.print();
            if let Err(TrySendError::Full(_)) = self.convictions.try_send(conviction) {
                crate::event!(warn, "conviction_not_kept", print = print);
            }
        }
    }

    /// Retries the queued requests after a change and sends the resulting verdicts.
    fn poll(&mut self, now: MonoTime) {
        if !std::mem::take(&mut self.dirty) || !self.core.has_waiting() {
            return;
        }
        let verdicts = self.core.poll(now);
        self.send_verdicts(verdicts);
    }
}
