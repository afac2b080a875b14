//! State machine of the membership protocol in one process.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Member;
use super::Outgoing;
use super::Role;
use super::Seed;
use super::Status;
use super::View;
use super::bootstrap_peers::BootstrapPeers;
use super::exchange;
use super::failure_detector::Action;
use super::failure_detector::FailureDetector;
use super::heartbeats::Heartbeats;
use super::limits::RECORD_TTL;
use super::limits::SILENCE_TIMEOUT;
use super::local::Local;
use super::peers;
use super::peers::Peers;
use super::reply::Reply;
use crate::conviction::SuspectRegistry;
use crate::rpc::message::Gossip;
use crate::rpc::message::GossipBody;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Revision;

/// The membership of one process, without I/O: the caller feeds it ticks and messages and sends the
/// messages it returns.
#[derive(Debug)]
pub struct MembershipState {
    local: Local,
    bootstrap: BootstrapPeers,
    heartbeats: Heartbeats,
    detector: FailureDetector,
    rng: StdRng,
    last_tick: Option<MonoTime>,
    peers: Peers,
}

impl MembershipState {
    /// Creates the state of a process that has just started with the `bootstrap` addresses of some
    /// entries.
    #[must_use]
    pub fn new(me: Member, bootstrap: &[SocketAddr], rng_seed: u64) -> Self {
        Self {
            local: Local::new(me),
            bootstrap: BootstrapPeers::new(bootstrap),
            heartbeats: Heartbeats::default(),
            detector: FailureDetector::default(),
            rng: StdRng::seed_from_u64(rng_seed),
            last_tick: None,
            peers: Peers::default(),
        }
    }

    /// Returns this process's own record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.local.me
    }

    /// Returns the known members, including this process.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.local.table.view
    }

    /// Whether this process accepts no new work, by its own decision or by the VM list.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.local.me.leaving
    }

    /// Whether a process with the same name started later, so that this one should stop.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.local.superseded
    }

    /// Returns the requests suspected of crashing backend servers.
    #[must_use]
    pub fn suspects(&self) -> &SuspectRegistry {
        &self.local.suspects
    }

    /// Returns the suspected requests for recording crashes and completions.
    pub fn suspects_mut(&mut self) -> &mut SuspectRegistry {
        &mut self.local.suspects
    }

    /// Takes the messages that cannot wait for the next tick; call it after each input.
    pub fn take_urgent(&mut self, now: MonoTime) -> Vec<Outgoing> {
        if !self.is_entry() {
            return Vec::new();
        }
        peers::urgent_messages(now, &mut self.local, &mut self.rng)
    }

    /// Sets the catalogue revision in force that this process reports to others.
    pub fn set_revision(&mut self, revision: Revision) {
        self.local.revision = revision;
    }

    /// Returns the messages of one period; call it every [`super::limits::PERIOD`].
    pub fn tick(&mut self, now: MonoTime) -> Vec<Outgoing> {
        self.handle_pause(now);
        self.local.table.remove_expired(now, &self.local.me.domain);
        let entries = self.local.table.view.entries().count();
        self.local.suspects.set_entries(entries.max(1));
        self.local.suspects.expire(now);
        let Local { me, table, .. } = &self.local;
        let unknown = self.bootstrap.tick(&table.view, me);
        let ask = |addr| self.local.probe(Role::Entry, addr);
        let mut out: Vec<Outgoing> = unknown.into_iter().map(ask).collect();
        if self.is_entry() {
            self.monitor_members(now, &mut out);
        }
        self.heartbeat(now, &mut out);
        if self.is_entry() {
            out.extend(self.peers.tick(now, &mut self.local, &mut self.rng));
        }
        out
    }

    /// Handles a call from another process and returns the answer.
    pub fn receive(&mut self, now: MonoTime, call: &Gossip) -> Gossip {
        let mut suspects = Vec::new();
        self.local.suspects.merge(now, &call.suspects);
        let reply = match &call.news {
            GossipBody::Heartbeat { member, sum } => {
                self.merge(now, member.as_deref());
                let domain = &self.local.me.domain;
                let view = &self.local.table.view;
                Reply::to_heartbeat(view, domain, call, *sum, &mut self.rng)
            }
            GossipBody::Exchange {
                pulses,
                cases,
                records,
            } => {
                self.merge(now, records);
                self.local.table.activity.record_all(now, pulses);
                suspects = self.local.suspects.missing(now, *cases, &mut self.rng);
                Reply::to_exchange(now, &self.local.table, pulses, &mut self.rng)
            }
            GossipBody::Repair {
                domain,
                buckets,
                records,
            } => {
                self.merge(now, records);
                let view = &self.local.table.view;
                let missing =
                    exchange::missing_records(view, domain, buckets, records, &mut self.rng);
                Reply::with_records(missing)
            }
            GossipBody::Probe { sender } => {
                self.merge(now, [sender.as_ref()]);
                Reply::with_records(vec![self.local.me.clone()])
            }
            GossipBody::Push { records } | GossipBody::Answer { records, .. } => {
                self.merge(now, records);
                Reply::default()
            }
        };
        self.record_contact(now, call);
        Gossip {
            suspects,
            ..self.local.message(reply.into())
        }
    }

    /// Handles the answer to a call and returns the follow-up calls.
    pub fn handle_answer(&mut self, now: MonoTime, answer: &Gossip) -> Vec<Outgoing> {
        let GossipBody::Answer {
            ask,
            pulses,
            detail,
            records,
        } = &answer.news
        else {
            return Vec::new();
        };
        self.heartbeats
            .record_answer(&answer.sender, &answer.domain, *ask);
        self.merge(now, records);
        self.local.table.activity.record_all(now, pulses);
        self.local.suspects.merge(now, &answer.suspects);
        self.record_contact(now, answer);
        let Self { local, rng, .. } = self;
        let repair = self
            .peers
            .handle_answer(local, &answer.sender, pulses, detail.as_ref(), rng);
        repair.into_iter().collect()
    }

    /// Announces that this process accepts no new work.
    pub fn leave(&mut self, now: MonoTime) -> Vec<Outgoing> {
        if self.is_leaving() {
            return Vec::new();
        }
        self.local.change(now, |me| me.leaving = true);
        self.announce(now)
    }

    /// Announces that this process has stopped; nothing may be sent afterwards.
    pub fn stop(&mut self, now: MonoTime) -> Vec<Outgoing> {
        self.local.change(now, |me| me.status = Status::Dead);
        self.announce(now)
    }

    /// Merges the platform's VM list, which lags behind: it can add members and mark them as
    /// leaving, but never declares one dead.
    pub fn merge_vm_list(&mut self, now: MonoTime, list: &[Seed]) -> Vec<Outgoing> {
        if self.local.merge_vm_list(now, list) {
            return self.leave(now);
        }
        Vec::new()
    }

    fn is_entry(&self) -> bool {
        self.local.me.role == Role::Entry
    }

    fn handle_pause(&mut self, now: MonoTime) {
        let gap = self
            .last_tick
            .map(|last| now.since(last))
            .unwrap_or_default();
        self.last_tick = Some(now);
        if gap > SILENCE_TIMEOUT {
            self.detector.reset(now);
            self.local.table.activity.reset(now);
        }
        if gap > RECORD_TTL {
            self.heartbeats = Heartbeats::default();
            self.local.table.reset_to_seeds(now, &self.local.me);
        }
    }

    fn monitor_members(&mut self, now: MonoTime, out: &mut Vec<Outgoing>) {
        let Local { me, table, .. } = &mut self.local;
        table.activity.record(now, &me.domain, Millis::ZERO);
        table
            .view
            .set_silent(table.activity.silent(now).cloned().collect());
        self.detector.refresh(now, &table.view, me);
        for action in self.detector.tick(now, &table.view) {
            match action {
                Action::SetStatus(node, status) => self.local.table.set_status(now, &node, status),
                Action::Probe(node) => out.extend(self.local.probe_member(&node)),
            }
        }
    }

    fn heartbeat(&mut self, now: MonoTime, out: &mut Vec<Outgoing>) {
        let Local { me, table, .. } = &self.local;
        let watch = self.heartbeats.choose_watch_domain(now, &table.view, me);
        if watch != self.local.me.watch {
            self.local.change(now, |me| me.watch = watch);
            self.heartbeats.resend_record();
        }
        let Local { me, table, .. } = &self.local;
        let beats = self.heartbeats.tick(now, &table.view, me);
        out.extend(
            beats
                .into_iter()
                .map(|(monitor, body)| self.local.message_to(&monitor, body)),
        );
    }

    fn announce(&mut self, now: MonoTime) -> Vec<Outgoing> {
        self.heartbeats.resend_record();
        let mut out = Vec::new();
        self.heartbeat(now, &mut out);
        if self.is_entry() {
            out.extend(self.peers.tick(now, &mut self.local, &mut self.rng));
        }
        out
    }

    fn merge<'a>(&mut self, now: MonoTime, records: impl IntoIterator<Item = &'a Member>) {
        if self.local.merge(now, records) {
            self.heartbeats.resend_record();
        }
    }

    /// Counts any message from a sender's current incarnation as a heartbeat.
    fn record_contact(&mut self, now: MonoTime, message: &Gossip) {
        let Some(sender) = self.local.table.view.get(&message.sender) else {
            return;
        };
        if message.incarnation < sender.incarnation {
            return;
        }
        if sender.role == Role::Entry {
            self.local
                .table
                .activity
                .record(now, &message.domain, Millis::ZERO);
        }
        self.detector.record_contact(now, &message.sender);
    }
}
