//! All members that a process knows, and lookups among them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Member;
use super::Role;
use super::Status;
use crate::types::DomainId;
use crate::types::ModelId;
use crate::types::NodeId;

/// A member that could serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its record.
    pub member: &'a Member,
    /// Whether it, or the failure domain that watches it, is silent: try it last.
    pub suspect: bool,
}

/// The members by name, with an index by model and a digest for each failure domain.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<NodeId, Member>,
    models: BTreeMap<ModelId, BTreeSet<NodeId>>,
    sums: BTreeMap<DomainId, u64>,
    silent: BTreeSet<DomainId>,
    changes: u64,
}

impl View {
    /// The record of `node`, dead or not.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// The agents that serve `model` and neither leave nor are dead.
    pub fn candidates(&self, model: &ModelId) -> impl Iterator<Item = Candidate<'_>> {
        let serving = self.models.get(model).into_iter().flatten();
        serving
            .filter_map(|node| self.members.get(node))
            .filter(|member| member.role == Role::Agent && !member.leaving)
            .map(|member| Candidate {
                member,
                suspect: self.is_suspect(member),
            })
    }

    /// The members that are not dead.
    pub fn living(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.status != Status::Dead)
    }

    /// The entries that are not dead.
    pub fn entries(&self) -> impl Iterator<Item = &Member> {
        self.living().filter(|member| member.role == Role::Entry)
    }

    /// The agents that are not dead.
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.living().filter(|member| member.role == Role::Agent)
    }

    /// The members of `domain` that are not dead.
    pub fn in_domain<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a Member> {
        self.living().filter(move |member| member.domain == *domain)
    }

    /// Whether the member or the failure domain that watches it is silent.
    #[must_use]
    pub fn is_suspect(&self, member: &Member) -> bool {
        member.status != Status::Alive || self.silent.contains(&member.watch)
    }

    /// The failure domains from which nothing has been heard, directly or through others.
    pub fn silent_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.silent.iter()
    }

    /// A number that grows with each change, by which a cache of lookups is known to be stale.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The digest of the members of each failure domain, the dead left out.
    pub fn sums(&self) -> impl Iterator<Item = (&DomainId, u64)> {
        self.sums.iter().map(|(domain, sum)| (domain, *sum))
    }

    /// The digest of `domain`; zero if it has no members.
    #[must_use]
    pub fn sum(&self, domain: &DomainId) -> u64 {
        self.sums.get(domain).copied().unwrap_or(0)
    }

    /// The member that answers at `addr` and has spoken for itself.
    #[must_use]
    pub fn by_addr(&self, addr: SocketAddr) -> Option<&Member> {
        self.living()
            .find(|member| member.addr == addr && !member.is_provisional())
    }

    /// Every record, the dead included.
    pub(super) fn records(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Merges a record in; says whether anything changed. A dead stranger is not taken in.
    pub(super) fn merge(&mut self, record: &Member) -> bool {
        let merged = match self.members.get(&record.node) {
            Some(known) => known.merged(record),
            None if record.status == Status::Dead => return false,
            None => record.clone(),
        };
        if self.members.get(&record.node) == Some(&merged) {
            return false;
        }
        self.remove(&record.node);
        self.index(&merged);
        self.members.insert(merged.node.clone(), merged);
        self.changes += 1;
        true
    }

    /// Drops a record.
    pub(super) fn remove(&mut self, node: &NodeId) {
        let Some(old) = self.members.remove(node) else {
            return;
        };
        self.changes += 1;
        for model in &old.models {
            if let Some(nodes) = self.models.get_mut(model) {
                nodes.remove(node);
            }
        }
        self.toggle(&old);
    }

    /// Replaces the set of silent failure domains.
    pub(super) fn set_silent(&mut self, silent: BTreeSet<DomainId>) {
        if self.silent != silent {
            self.silent = silent;
            self.changes += 1;
        }
    }

    fn index(&mut self, member: &Member) {
        self.toggle(member);
        if member.status == Status::Dead {
            return;
        }
        for model in &member.models {
            let nodes = self.models.entry(model.clone()).or_default();
            nodes.insert(member.node.clone());
        }
    }

    fn toggle(&mut self, member: &Member) {
        if member.status != Status::Dead && !member.is_provisional() {
            *self.sums.entry(member.domain.clone()).or_default() ^= member.digest();
        }
    }
}
