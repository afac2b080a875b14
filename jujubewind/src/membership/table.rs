//! The records a process holds, with what it still has to tell of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Member;
use super::Role;
use super::Seed;
use super::Status;
use super::View;
use super::limits::FORGET;
use super::limits::MAX_RECORDS;
use super::pulses::Pulses;
use super::rumors::Rumors;
use crate::types::DomainId;
use crate::types::MonoTime;
use crate::types::NodeId;

/// The view, the changes still to be told, and the times after which records are dropped.
#[derive(Clone, Debug)]
pub(super) struct Table {
    pub(super) view: View,
    pub(super) rumors: Rumors,
    pub(super) pulses: Pulses,
    role: Role,
    touched: BTreeMap<NodeId, MonoTime>,
    urgent: BTreeSet<NodeId>,
}

impl Table {
    /// An empty table of a process with `role`; only entries tell others what changed.
    pub(super) fn new(role: Role) -> Self {
        Self {
            view: View::default(),
            rumors: Rumors::default(),
            pulses: Pulses::default(),
            role,
            touched: BTreeMap::new(),
            urgent: BTreeSet::new(),
        }
    }

    /// Merges one record in and starts telling of it if it is news.
    pub(super) fn merge(&mut self, now: MonoTime, record: &Member) {
        let stayed = self.view.get(&record.node).is_some_and(|m| !m.leaving);
        let changed = self.view.merge(record);
        if !changed && self.view.get(&record.node) == Some(record) {
            self.rumors.heard_back(&record.node);
        }
        if stayed && record.leaving && self.urgent.len() < MAX_RECORDS {
            self.urgent.insert(record.node.clone());
        }
        if changed || self.role == Role::Agent {
            self.touched.insert(record.node.clone(), now);
        }
        if changed && self.role == Role::Entry && !record.is_provisional() {
            let entries = self.view.entries().count();
            self.rumors.add(record.node.clone(), entries);
        }
    }

    /// The members that began to leave since the last call.
    pub(super) fn take_urgent(&mut self) -> Vec<Member> {
        let nodes = std::mem::take(&mut self.urgent);
        let records = nodes.iter().filter_map(|node| self.view.get(node));
        records.cloned().collect()
    }

    /// Raises the doubt about a member, if nothing newer is known.
    pub(super) fn set_status(&mut self, now: MonoTime, node: &NodeId, status: Status) {
        if let Some(known) = self.view.get(node) {
            let record = Member {
                status,
                ..known.clone()
            };
            self.merge(now, &record);
        }
    }

    /// Takes in what the platform's list says of one process, as far as nothing better is known.
    pub(super) fn merge_seed(&mut self, now: MonoTime, seed: &Seed) {
        let known = self.view.get(&seed.node);
        let Some(known) = known.or_else(|| self.view.by_addr(seed.addr)) else {
            self.merge(now, &Member::provisional(seed.clone()));
            return;
        };
        if seed.leaving && !known.leaving {
            let record = Member {
                leaving: true,
                ..known.clone()
            };
            self.merge(now, &record);
        }
    }

    /// Drops the place holders that `listed` does not name any longer, once a real peer is known.
    pub(super) fn drop_unlisted(&mut self, listed: &[Seed], me: &NodeId) {
        let is_peer = |entry: &Member| entry.node != *me && !entry.is_provisional();
        if !self.view.entries().any(is_peer) {
            return;
        }
        let gone: Vec<NodeId> = self
            .view
            .living()
            .filter(|member| member.is_provisional())
            .filter(|member| !listed.iter().any(|seed| seed.node == member.node))
            .map(|member| member.node.clone())
            .collect();
        for node in gone {
            self.view.remove(&node);
        }
    }

    /// Drops the dead, and on an agent the entries of `home`'s siblings not heard of for long.
    pub(super) fn forget(&mut self, now: MonoTime, home: &DomainId) {
        let old: Vec<NodeId> = self
            .touched
            .iter()
            .filter(|(_, at)| now.since(**at) > FORGET)
            .map(|(node, _)| node.clone())
            .collect();
        for node in old {
            self.touched.remove(&node);
            let drops = self.view.get(&node).is_some_and(|member| {
                let foreign = self.role == Role::Agent && member.domain != *home;
                member.status == Status::Dead || (foreign && !member.is_provisional())
            });
            if drops {
                self.view.remove(&node);
            }
        }
    }

    /// Keeps of every other member only its address, after a pause longer than the dead are kept.
    pub(super) fn start_afresh(&mut self, now: MonoTime, me: &Member) {
        let seeds: Vec<Seed> = self
            .view
            .entries()
            .filter(|entry| entry.node != me.node)
            .map(Seed::from)
            .collect();
        *self = Self::new(self.role);
        self.merge(now, me);
        for seed in &seeds {
            self.merge_seed(now, seed);
        }
    }
}
