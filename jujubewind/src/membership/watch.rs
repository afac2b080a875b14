//! What a home does about members that fall silent.

use std::collections::BTreeMap;

use super::Member;
use super::Status;
use super::View;
use super::limits::HOMES;
use super::limits::PROBE_WAIT;
use super::limits::SILENCE;
use super::limits::SUSPICION;
use super::rendezvous::homes;
use crate::types::MonoTime;
use crate::types::NodeId;

/// When a member was last heard, and since when an answer to a probe is awaited.
#[derive(Clone, Debug)]
struct Watched {
    heard: MonoTime,
    probed: Option<MonoTime>,
}

/// What a home decides about one silent member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Ask the member itself.
    Probe(NodeId),
    /// Tell others of the doubt or the death.
    Status(NodeId, Status),
}

/// The members whose home this entry is.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch {
    members: BTreeMap<NodeId, Watched>,
    seen: Option<u64>,
}

impl Watch {
    /// Follows changes of the view: who listens for whom is computed anew.
    ///
    /// An entry that is silent here counts as gone already, so that those it listened for are
    /// looked after while its own death is not certain yet.
    pub(super) fn refresh(&mut self, now: MonoTime, view: &View, me: &Member) {
        if self.seen == Some(view.changes()) {
            return;
        }
        self.seen = Some(view.changes());
        let entries: Vec<&Member> = view
            .entries()
            .filter(|entry| entry.domain == me.domain && !entry.leaving)
            .filter(|entry| !self.is_silent(&entry.node))
            .collect();
        let mut members = BTreeMap::new();
        for member in view.living().filter(|member| member.watch == me.domain) {
            let mine = homes(&entries, member, HOMES);
            let is_home = mine.iter().any(|home| home.node == me.node);
            if is_home || self.is_silent(&member.node) {
                let state = self.members.remove(&member.node);
                members.insert(member.node.clone(), state.unwrap_or(Watched::new(now)));
            }
        }
        self.members = members;
    }

    /// Notes a message from `node` itself.
    pub(super) fn heard(&mut self, now: MonoTime, node: &NodeId) {
        if let Some(state) = self.members.get_mut(node) {
            if state.probed.is_some() {
                self.seen = None;
            }
            *state = Watched::new(now);
        }
    }

    /// Counts silence from now on, after this process itself was paused.
    pub(super) fn reset(&mut self, now: MonoTime) {
        for state in self.members.values_mut() {
            *state = Watched::new(now);
        }
    }

    /// What to do about those that are silent.
    pub(super) fn tick(&mut self, now: MonoTime, view: &View) -> Vec<Verdict> {
        let verdicts = self.members.iter_mut().filter_map(|(node, state)| {
            let member = view.get(node)?;
            state.verdict(now, member)
        });
        let verdicts: Vec<Verdict> = verdicts.collect();
        if !verdicts.is_empty() {
            self.seen = None;
        }
        verdicts
    }

    fn is_silent(&self, node: &NodeId) -> bool {
        let state = self.members.get(node);
        state.is_some_and(|state| state.probed.is_some())
    }
}

impl Watched {
    fn new(now: MonoTime) -> Self {
        Self {
            heard: now,
            probed: None,
        }
    }

    fn verdict(&mut self, now: MonoTime, member: &Member) -> Option<Verdict> {
        let node = member.node.clone();
        let Some(probed) = self.probed else {
            if now.since(self.heard) < SILENCE {
                return None;
            }
            self.probed = Some(now);
            return Some(Verdict::Probe(node));
        };
        let waited = now.since(probed);
        if waited < PROBE_WAIT {
            return None;
        }
        if member.is_provisional() {
            *self = Self::new(now);
            return None;
        }
        if waited >= PROBE_WAIT.saturating_add(SUSPICION) {
            return Some(Verdict::Status(node, Status::Dead));
        }
        (member.status == Status::Alive).then_some(Verdict::Status(node, Status::Suspect))
    }
}
