//! A process's own record, and what it does about records that others hold of it.

use std::net::SocketAddr;

use super::Member;
use super::Outgoing;
use super::Role;
use super::Seed;
use super::Status;
use super::table::Table;
use crate::conviction::SuspectRegistry;
use crate::rpc::message::Gossip;
use crate::rpc::message::News;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Revision;

/// The process itself, with the table in which its own record stands among the others.
#[derive(Clone, Debug)]
pub(super) struct Local {
    pub(super) me: Member,
    pub(super) table: Table,
    pub(super) register: SuspectRegistry,
    pub(super) revision: Revision,
    pub(super) superseded: bool,
}

impl Local {
    /// A process that knows of nobody else.
    pub(super) fn new(me: Member) -> Self {
        let mut table = Table::new(me.role);
        table.merge(MonoTime::ZERO, &me);
        Self {
            me,
            table,
            register: SuspectRegistry::default(),
            revision: Revision::ZERO,
            superseded: false,
        }
    }

    /// Changes the own record and starts telling of it.
    pub(super) fn change(&mut self, now: MonoTime, edit: impl FnOnce(&mut Member)) {
        edit(&mut self.me);
        self.me.version += 1;
        self.table.merge(now, &self.me);
    }

    /// Merges records in; says whether the own record had to change to refute one.
    pub(super) fn merge<'a>(
        &mut self,
        now: MonoTime,
        records: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        let version = self.me.version;
        for record in records {
            if record.node == self.me.node {
                self.compare(now, record);
            } else {
                self.table.merge(now, record);
            }
        }
        self.me.version != version
    }

    /// Takes in the platform's list; says whether this process is to leave.
    pub(super) fn merge_list(&mut self, now: MonoTime, list: &[Seed]) -> bool {
        let Self { me, table, .. } = self;
        let is_me = |seed: &&Seed| seed.node == me.node || seed.addr == me.addr;
        table.drop_unlisted(list, &me.node);
        for seed in list.iter().filter(|seed| !is_me(seed)) {
            table.merge_seed(now, seed);
        }
        list.iter().any(|seed| is_me(&seed) && seed.leaving)
    }

    /// A message of this process.
    pub(super) fn speak(&self, news: News) -> Gossip {
        Gossip {
            sender: self.me.node.clone(),
            incarnation: self.me.incarnation,
            version: self.me.version,
            domain: self.me.domain.clone(),
            revision: self.revision,
            suspects: Vec::new(),
            news,
        }
    }

    /// A message of this process to `target`.
    pub(super) fn send(&self, target: &Member, news: News) -> Outgoing {
        Outgoing {
            role: target.role,
            addr: target.addr,
            message: self.speak(news),
        }
    }

    /// A call that asks the process at `addr` for its record.
    pub(super) fn probe(&self, role: Role, addr: SocketAddr) -> Outgoing {
        let sender = Box::new(self.me.clone());
        let news = self.speak(News::Probe { sender });
        Outgoing {
            role,
            addr,
            message: news,
        }
    }

    /// A call that asks a known member for its record.
    pub(super) fn probe_member(&self, node: &NodeId) -> Option<Outgoing> {
        let member = self.table.view.get(node)?;
        Some(self.probe(member.role, member.addr))
    }

    fn compare(&mut self, now: MonoTime, record: &Member) {
        if record.incarnation != self.me.incarnation {
            self.superseded |= record.incarnation > self.me.incarnation;
            return;
        }
        let doubted = record.status != Status::Alive && record.version >= self.me.version;
        let told = record.leaving && !self.me.leaving;
        if (doubted && self.me.status == Status::Alive) || told {
            let version = self.me.version.max(record.version);
            self.change(now, |me| {
                me.version = version;
                me.leaving |= record.leaving;
            });
        }
    }
}
