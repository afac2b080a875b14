//! The decisions of one process about membership.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Member;
use super::Outgoing;
use super::Role;
use super::Seed;
use super::Status;
use super::View;
use super::contacts::Contacts;
use super::exchange;
use super::heartbeats::Heartbeats;
use super::limits::FORGET;
use super::limits::SILENCE;
use super::local::Local;
use super::peers;
use super::peers::Peers;
use super::reply::Reply;
use super::watch::Verdict;
use super::watch::Watch;
use crate::conviction::SuspectRegistry;
use crate::rpc::message::Gossip;
use crate::rpc::message::News;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Revision;

/// The membership of one process: feed it ticks and messages, send what it gives out.
#[derive(Debug)]
pub struct MembershipState {
    local: Local,
    contacts: Contacts,
    heartbeats: Heartbeats,
    watch: Watch,
    rng: StdRng,
    ticked: Option<MonoTime>,
    peers: Peers,
}

impl MembershipState {
    /// A process that has just started and knows the addresses of some entries.
    #[must_use]
    pub fn new(me: Member, contacts: &[SocketAddr], rng_seed: u64) -> Self {
        Self {
            local: Local::new(me),
            contacts: Contacts::new(contacts),
            heartbeats: Heartbeats::default(),
            watch: Watch::default(),
            rng: StdRng::seed_from_u64(rng_seed),
            ticked: None,
            peers: Peers::default(),
        }
    }

    /// This process's own record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.local.me
    }

    /// The members it knows, itself included.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.local.table.view
    }

    /// Whether it takes no new work, by its own will or because it was told so.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.local.me.leaving
    }

    /// Whether another process with its name started after it, so that it should stop.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.local.superseded
    }

    /// The requests under suspicion.
    #[must_use]
    pub fn suspects(&self) -> &SuspectRegistry {
        &self.local.register
    }

    /// The requests under suspicion, to note crashes and completions.
    pub fn suspects_mut(&mut self) -> &mut SuspectRegistry {
        &mut self.local.register
    }

    /// The messages that cannot wait for the next tick; to be asked after each input.
    pub fn take_urgent(&mut self, now: MonoTime) -> Vec<Outgoing> {
        if !self.is_entry() {
            return Vec::new();
        }
        peers::urgent(now, &mut self.local, &mut self.rng)
    }

    /// Sets the catalogue revision that it says it has in force.
    pub fn set_revision(&mut self, revision: Revision) {
        self.local.revision = revision;
    }

    /// The messages of one period; to be called every [`super::limits::PERIOD`].
    pub fn tick(&mut self, now: MonoTime) -> Vec<Outgoing> {
        self.note_pause(now);
        self.local.table.forget(now, &self.local.me.domain);
        self.local.register.expire(now);
        let Local { me, table, .. } = &self.local;
        let strangers = self.contacts.tick(&table.view, me);
        let ask = |addr| self.local.probe(Role::Entry, addr);
        let mut out: Vec<Outgoing> = strangers.into_iter().map(ask).collect();
        if self.is_entry() {
            self.watch_others(now, &mut out);
        }
        self.heartbeat(now, &mut out);
        if self.is_entry() {
            out.extend(self.peers.tick(now, &mut self.local, &mut self.rng));
        }
        out
    }

    /// Takes in a call of another process and gives the answer to return.
    pub fn receive(&mut self, now: MonoTime, call: &Gossip) -> Gossip {
        let mut suspects = Vec::new();
        self.local.register.merge(now, &call.suspects);
        let reply = match &call.news {
            News::Heartbeat { member, sum } => {
                self.merge(now, member.as_deref());
                let domain = &self.local.me.domain;
                let view = &self.local.table.view;
                Reply::to_heartbeat(view, domain, call, *sum, &mut self.rng)
            }
            News::Exchange {
                pulses,
                cases,
                records,
            } => {
                self.merge(now, records);
                self.local.table.pulses.note_all(now, pulses);
                suspects = self.local.register.missing(now, *cases, &mut self.rng);
                Reply::to_exchange(now, &self.local.table, pulses, &mut self.rng)
            }
            News::Repair {
                domain,
                buckets,
                records,
            } => {
                self.merge(now, records);
                let view = &self.local.table.view;
                let missing = exchange::missing(view, domain, buckets, records, &mut self.rng);
                Reply::of(missing)
            }
            News::Probe { sender } => {
                self.merge(now, [sender.as_ref()]);
                Reply::of(vec![self.local.me.clone()])
            }
            News::Push { records } | News::Answer { records, .. } => {
                self.merge(now, records);
                Reply::default()
            }
        };
        self.heard(now, call);
        Gossip {
            suspects,
            ..self.local.speak(reply.into())
        }
    }

    /// Takes in the answer to a call; gives the calls that follow from it.
    pub fn handle_answer(&mut self, now: MonoTime, answer: &Gossip) -> Vec<Outgoing> {
        let News::Answer {
            ask,
            pulses,
            detail,
            records,
        } = &answer.news
        else {
            return Vec::new();
        };
        self.heartbeats
            .answered(&answer.sender, &answer.domain, *ask);
        self.merge(now, records);
        self.local.table.pulses.note_all(now, pulses);
        self.local.register.merge(now, &answer.suspects);
        self.heard(now, answer);
        let Self { local, rng, .. } = self;
        let repair = self
            .peers
            .answered(local, &answer.sender, pulses, detail.as_ref(), rng);
        repair.into_iter().collect()
    }

    /// Announces that this process takes no new work.
    pub fn leave(&mut self, now: MonoTime) -> Vec<Outgoing> {
        if self.is_leaving() {
            return Vec::new();
        }
        self.local.change(now, |me| me.leaving = true);
        self.announce(now)
    }

    /// Announces that this process has ended; nothing is to be sent afterwards.
    pub fn stop(&mut self, now: MonoTime) -> Vec<Outgoing> {
        self.local.change(now, |me| me.status = Status::Dead);
        self.announce(now)
    }

    /// Takes in the platform's list, a lagging witness: it adds and marks, and never kills.
    pub fn merge_vm_list(&mut self, now: MonoTime, list: &[Seed]) -> Vec<Outgoing> {
        if self.local.merge_list(now, list) {
            return self.leave(now);
        }
        Vec::new()
    }

    fn is_entry(&self) -> bool {
        self.local.me.role == Role::Entry
    }

    fn note_pause(&mut self, now: MonoTime) {
        let gap = self.ticked.map(|last| now.since(last)).unwrap_or_default();
        self.ticked = Some(now);
        if gap > SILENCE {
            self.watch.reset(now);
            self.local.table.pulses.reset(now);
        }
        if gap > FORGET {
            self.heartbeats = Heartbeats::default();
            self.local.table.start_afresh(now, &self.local.me);
        }
    }

    fn watch_others(&mut self, now: MonoTime, out: &mut Vec<Outgoing>) {
        let Local { me, table, .. } = &mut self.local;
        table.pulses.note(now, &me.domain, Millis::ZERO);
        table
            .view
            .set_silent(table.pulses.silent(now).cloned().collect());
        self.watch.refresh(now, &table.view, me);
        for verdict in self.watch.tick(now, &table.view) {
            match verdict {
                Verdict::Status(node, status) => self.local.table.set_status(now, &node, status),
                Verdict::Probe(node) => out.extend(self.local.probe_member(&node)),
            }
        }
    }

    fn heartbeat(&mut self, now: MonoTime, out: &mut Vec<Outgoing>) {
        let Local { me, table, .. } = &self.local;
        let watch = self.heartbeats.watch(now, &table.view, me);
        if watch != self.local.me.watch {
            self.local.change(now, |me| me.watch = watch);
            self.heartbeats.record_changed();
        }
        let Local { me, table, .. } = &self.local;
        let beats = self.heartbeats.tick(now, &table.view, me);
        out.extend(
            beats
                .into_iter()
                .map(|(home, news)| self.local.send(&home, news)),
        );
    }

    fn announce(&mut self, now: MonoTime) -> Vec<Outgoing> {
        self.heartbeats.record_changed();
        let mut out = Vec::new();
        self.heartbeat(now, &mut out);
        if self.is_entry() {
            out.extend(self.peers.tick(now, &mut self.local, &mut self.rng));
        }
        out
    }

    fn merge<'a>(&mut self, now: MonoTime, records: impl IntoIterator<Item = &'a Member>) {
        if self.local.merge(now, records) {
            self.heartbeats.record_changed();
        }
    }

    /// A message of a sender's current life counts as its heartbeat, whatever else it says.
    fn heard(&mut self, now: MonoTime, news: &Gossip) {
        let Some(sender) = self.local.table.view.get(&news.sender) else {
            return;
        };
        if news.incarnation < sender.incarnation {
            return;
        }
        if sender.role == Role::Entry {
            self.local
                .table
                .pulses
                .note(now, &news.domain, Millis::ZERO);
        }
        self.watch.heard(now, &news.sender);
    }
}
