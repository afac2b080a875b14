//! A process's own record, and how it refutes outdated records that others hold of it.

use std::net::SocketAddr;

use super::Member;
use super::Outgoing;
use super::Role;
use super::Seed;
use super::Status;
use super::table::Table;
use crate::conviction::SuspectRegistry;
use crate::rpc::message::Gossip;
use crate::rpc::message::GossipBody;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Revision;

/// The local process: its own record and the table of all records it holds.
#[derive(Clone, Debug)]
pub(super) struct Local {
    pub(super) me: Member,
    pub(super) table: Table,
    pub(super) suspects: SuspectRegistry,
    pub(super) revision: Revision,
    pub(super) superseded: bool,
}

impl Local {
    /// Creates the state of a process that knows no other member.
    pub(super) fn new(me: Member) -> Self {
        let mut table = Table::new(me.role);
        table.merge(MonoTime::ZERO, &me);
        let suspects = SuspectRegistry::of(&me.node);
        Self {
            me,
            table,
            suspects,
            revision: Revision::ZERO,
            superseded: false,
        }
    }

    /// Edits this process's record, raises its version and starts to gossip it.
    pub(super) fn change(&mut self, now: MonoTime, edit: impl FnOnce(&mut Member)) {
        edit(&mut self.me);
        self.me.version += 1;
        self.table.merge(now, &self.me);
    }

    /// Merges records. Returns true if this process's record had to change to refute one.
    pub(super) fn merge<'a>(
        &mut self,
        now: MonoTime,
        records: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        let version = self.me.version;
        for record in records {
            if record.node == self.me.node {
                self.merge_own_record(now, record);
            } else {
                self.table.merge(now, record);
            }
        }
        self.me.version != version
    }

    /// Merges the platform's VM list. Returns true if it marks this process as leaving.
    pub(super) fn merge_vm_list(&mut self, now: MonoTime, list: &[Seed]) -> bool {
        let Self { me, table, .. } = self;
        let is_me = |seed: &&Seed| seed.node == me.node || seed.addr == me.addr;
        table.drop_unlisted(list, &me.node);
        for seed in list.iter().filter(|seed| !is_me(seed)) {
            table.merge_seed(now, seed);
        }
        list.iter().any(|seed| is_me(&seed) && seed.leaving)
    }

    /// Creates a message from this process.
    pub(super) fn message(&self, body: GossipBody) -> Gossip {
        Gossip {
            sender: self.me.node.clone(),
            incarnation: self.me.incarnation,
            version: self.me.version,
            domain: self.me.domain.clone(),
            revision: self.revision,
            suspects: Vec::new(),
            news: body,
        }
    }

    /// Creates a message from this process to `target`.
    pub(super) fn message_to(&self, target: &Member, body: GossipBody) -> Outgoing {
        Outgoing {
            role: target.role,
            addr: target.addr,
            message: self.message(body),
        }
    }

    /// Creates a probe that asks the process at `addr` for its record.
    pub(super) fn probe(&self, role: Role, addr: SocketAddr) -> Outgoing {
        let sender = Box::new(self.me.clone());
        let probe = self.message(GossipBody::Probe { sender });
        Outgoing {
            role,
            addr,
            message: probe,
        }
    }

    /// Creates a probe that asks a known member for its record.
    pub(super) fn probe_member(&self, node: &NodeId) -> Option<Outgoing> {
        let member = self.table.view.get(node)?;
        Some(self.probe(member.role, member.addr))
    }

    fn merge_own_record(&mut self, now: MonoTime, record: &Member) {
        if record.incarnation != self.me.incarnation {
            self.superseded |= record.incarnation > self.me.incarnation;
            return;
        }
        let is_doubted = record.status != Status::Alive && record.version >= self.me.version;
        let told_to_leave = record.leaving && !self.me.leaving;
        if (is_doubted && self.me.status == Status::Alive) || told_to_leave {
            let version = self.me.version.max(record.version);
            self.change(now, |me| {
                me.version = version;
                me.leaving |= record.leaving;
            });
        }
    }
}
