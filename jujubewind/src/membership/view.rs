//! The members that a process knows, and lookups among them.

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
    /// Whether it or the failure domain that monitors it is silent, so that it should be tried
    /// last.
    pub suspect: bool,
}

/// The members by name, with an index by model and a digest per failure domain.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<NodeId, Member>,
    models: BTreeMap<ModelId, BTreeSet<NodeId>>,
    digests: BTreeMap<DomainId, u64>,
    /// Failure domains without a recent sign of life.
    silent: BTreeSet<DomainId>,
    /// The number of changes so far.
    changes: u64,
}

impl View {
    /// Returns the record of `node`, dead or not.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns the agents that serve `model` and are neither leaving nor dead.
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

    /// Returns the members that are not dead.
    pub fn living(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.status != Status::Dead)
    }

    /// Returns the entries that are not dead.
    pub fn entries(&self) -> impl Iterator<Item = &Member> {
        self.living().filter(|member| member.role == Role::Entry)
    }

    /// Returns the agents that are not dead.
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.living().filter(|member| member.role == Role::Agent)
    }

    /// Returns the members of `domain` that are not dead.
    pub fn in_domain<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a Member> {
        self.living().filter(move |member| member.domain == *domain)
    }

    /// Whether the member or the failure domain that monitors it is silent.
    #[must_use]
    pub fn is_suspect(&self, member: &Member) -> bool {
        member.status != Status::Alive || self.silent.contains(&member.watch)
    }

    /// Returns the silent failure domains.
    pub fn silent_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.silent.iter()
    }

    /// Returns a number that grows with each change, by which cached lookups are known to be stale.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns the digest of each failure domain over its members that are not dead.
    pub fn digests(&self) -> impl Iterator<Item = (&DomainId, u64)> {
        self.digests.iter().map(|(domain, sum)| (domain, *sum))
    }

    /// Returns the digest of `domain`; zero if it has no members.
    #[must_use]
    pub fn digest(&self, domain: &DomainId) -> u64 {
        self.digests.get(domain).copied().unwrap_or(0)
    }

    /// Returns the member at `addr`, unless only a seed of it is known.
    #[must_use]
    pub fn by_addr(&self, addr: SocketAddr) -> Option<&Member> {
        self.living()
            .find(|member| member.addr == addr && !member.is_provisional())
    }

    /// Returns every record, including those of dead members.
    pub(super) fn records(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Merges a record and returns whether anything changed. The record of an unknown dead member
    /// is ignored.
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

    /// Removes a record.
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
        self.toggle_digest(&old);
    }

    /// Replaces the set of silent failure domains.
    pub(super) fn set_silent(&mut self, silent: BTreeSet<DomainId>) {
        if self.silent != silent {
            self.silent = silent;
            self.changes += 1;
        }
    }

    fn index(&mut self, member: &Member) {
        self.toggle_digest(member);
        if member.status == Status::Dead {
            return;
        }
        for model in &member.models {
            let nodes = self.models.entry(model.clone()).or_default();
            nodes.insert(member.node.clone());
        }
    }

    /// Adds a member to the digest of its domain or removes it again: XOR does both.
    fn toggle_digest(&mut self, member: &Member) {
        if member.status != Status::Dead && !member.is_provisional() {
            *self.digests.entry(member.domain.clone()).or_default() ^= member.digest();
        }
    }
}
