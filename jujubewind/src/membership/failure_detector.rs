//! Failure detection by the entries that monitor a member.

use std::collections::BTreeMap;

use super::Member;
use super::Status;
use super::View;
use super::limits::MONITORS_PER_MEMBER;
use super::limits::PROBE_TIMEOUT;
use super::limits::SILENCE_TIMEOUT;
use super::limits::SUSPICION_TIMEOUT;
use super::rendezvous::monitors;
use crate::types::MonoTime;
use crate::types::NodeId;

/// When a monitored member last sent a message, and when it was probed without an answer.
#[derive(Clone, Debug)]
struct Monitored {
    last_heard: MonoTime,
    probed_at: Option<MonoTime>,
}

/// What a monitor does about a silent member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Probe the member.
    Probe(NodeId),
    /// Declare the member suspect or dead.
    SetStatus(NodeId, Status),
}

/// The members that this entry monitors.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureDetector {
    members: BTreeMap<NodeId, Monitored>,
    seen_changes: Option<u64>,
}

impl FailureDetector {
    /// Reassigns the monitored members after a change of the view.
    ///
    /// An entry that is silent here already counts as failed, so that the members it monitored
    /// are covered before it is declared dead.
    pub(super) fn refresh(&mut self, now: MonoTime, view: &View, me: &Member) {
        if self.seen_changes == Some(view.change_count()) {
            return;
        }
        self.seen_changes = Some(view.change_count());
        let entries: Vec<&Member> = view
            .entries()
            .filter(|entry| entry.domain == me.domain && !entry.leaving)
            .filter(|entry| !self.is_silent(&entry.node))
            .collect();
        let mut members = BTreeMap::new();
        for member in view.living().filter(|member| member.watch == me.domain) {
            let assigned = monitors(&entries, member, MONITORS_PER_MEMBER);
            let is_monitor = assigned.iter().any(|entry| entry.node == me.node);
            if is_monitor || self.is_silent(&member.node) {
                let state = self.members.remove(&member.node);
                members.insert(member.node.clone(), state.unwrap_or(Monitored::new(now)));
            }
        }
        self.members = members;
    }

    /// Records a message from `node` itself.
    pub(super) fn record_contact(&mut self, now: MonoTime, node: &NodeId) {
        if let Some(state) = self.members.get_mut(node) {
            if state.probed_at.is_some() {
                self.seen_changes = None;
            }
            *state = Monitored::new(now);
        }
    }

    /// Restarts all timeouts, after this process itself was paused.
    pub(super) fn reset(&mut self, now: MonoTime) {
        for state in self.members.values_mut() {
            *state = Monitored::new(now);
        }
    }

    /// Returns the actions for silent members.
    pub(super) fn tick(&mut self, now: MonoTime, view: &View) -> Vec<Action> {
        let actions = self.members.iter_mut().filter_map(|(node, state)| {
            let member = view.get(node)?;
            state.next_action(now, member)
        });
        let actions: Vec<Action> = actions.collect();
        if !actions.is_empty() {
            self.seen_changes = None;
        }
        actions
    }

    fn is_silent(&self, node: &NodeId) -> bool {
        let state = self.members.get(node);
        state.is_some_and(|state| state.probed_at.is_some())
    }
}

impl Monitored {
    fn new(now: MonoTime) -> Self {
        Self {
            last_heard: now,
            probed_at: None,
        }
    }

    fn next_action(&mut self, now: MonoTime, member: &Member) -> Option<Action> {
        let node = member.node.clone();
        let Some(probed) = self.probed_at else {
            if now.since(self.last_heard) < SILENCE_TIMEOUT {
                return None;
            }
            self.probed_at = Some(now);
            return Some(Action::Probe(node));
        };
        let waited = now.since(probed);
        if waited < PROBE_TIMEOUT {
            return None;
        }
        if member.is_provisional() {
            *self = Self::new(now);
            return None;
        }
        if waited >= PROBE_TIMEOUT.saturating_add(SUSPICION_TIMEOUT) {
            return Some(Action::SetStatus(node, Status::Dead));
        }
        (member.status == Status::Alive).then_some(Action::SetStatus(node, Status::Suspect))
    }
}
