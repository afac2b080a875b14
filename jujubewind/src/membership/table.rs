//! The records that a process holds, and the changes it still has to gossip.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Member;
use super::Role;
use super::Seed;
use super::Status;
use super::View;
use super::domain_activity::DomainActivity;
use super::limits::MAX_RECORDS;
use super::limits::RECORD_TTL;
use super::rumors::Rumors;
use crate::types::DomainId;
use crate::types::MonoTime;
use crate::types::NodeId;

/// The view, the pending changes, and the time of the last update of each record.
#[derive(Clone, Debug)]
pub(super) struct Table {
    pub(super) view: View,
    pub(super) rumors: Rumors,
    pub(super) activity: DomainActivity,
    role: Role,
    updated: BTreeMap<NodeId, MonoTime>,
    urgent: BTreeSet<NodeId>,
}

impl Table {
    /// Creates an empty table for a process with `role`; only entries gossip changes.
    pub(super) fn new(role: Role) -> Self {
        Self {
            view: View::default(),
            rumors: Rumors::default(),
            activity: DomainActivity::default(),
            role,
            updated: BTreeMap::new(),
            urgent: BTreeSet::new(),
        }
    }

    /// Merges one record and starts to gossip it if it changed the view.
    pub(super) fn merge(&mut self, now: MonoTime, record: &Member) {
        let was_staying = self.view.get(&record.node).is_some_and(|m| !m.leaving);
        let changed = self.view.merge(record);
        if !changed && self.view.get(&record.node) == Some(record) {
            self.rumors.record_duplicate(&record.node);
        }
        if was_staying && record.leaving && self.urgent.len() < MAX_RECORDS {
            self.urgent.insert(record.node.clone());
        }
        if changed || self.role == Role::Agent {
            self.updated.insert(record.node.clone(), now);
        }
        if changed && self.role == Role::Entry && !record.is_provisional() {
            let entries = self.view.entries().count();
            self.rumors.add(record.node.clone(), entries);
        }
    }

    /// Takes the members that started to leave since the last call.
    pub(super) fn take_urgent(&mut self) -> Vec<Member> {
        let nodes = std::mem::take(&mut self.urgent);
        let records = nodes.iter().filter_map(|node| self.view.get(node));
        records.cloned().collect()
    }

    /// Raises the status of a member, unless a newer record is known.
    pub(super) fn set_status(&mut self, now: MonoTime, node: &NodeId, status: Status) {
        if let Some(known) = self.view.get(node) {
            let record = Member {
                status,
                ..known.clone()
            };
            self.merge(now, &record);
        }
    }

    /// Merges one line of the VM list: adds an unknown process, and marks a known one as leaving.
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

    /// Removes the placeholders that `listed` no longer names, once a peer is known by its own
    /// record.
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

    /// Removes dead members not updated for [`RECORD_TTL`], and on an agent also members of failure
    /// domains other than `own_domain`.
    pub(super) fn remove_expired(&mut self, now: MonoTime, own_domain: &DomainId) {
        let old: Vec<NodeId> = self
            .updated
            .iter()
            .filter(|(_, at)| now.since(**at) > RECORD_TTL)
            .map(|(node, _)| node.clone())
            .collect();
        for node in old {
            self.updated.remove(&node);
            let drops = self.view.get(&node).is_some_and(|member| {
                let foreign = self.role == Role::Agent && member.domain != *own_domain;
                member.status == Status::Dead || (foreign && !member.is_provisional())
            });
            if drops {
                self.view.remove(&node);
            }
        }
    }

    /// Reduces every other entry to a seed and drops the rest, after a pause longer than
    /// [`RECORD_TTL`].
    pub(super) fn reset_to_seeds(&mut self, now: MonoTime, me: &Member) {
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
