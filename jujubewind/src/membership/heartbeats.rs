//! Heartbeats that a member sends to the entries that monitor it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Member;
use super::View;
use super::limits::MAX_UNANSWERED;
use super::limits::MONITORS_PER_MEMBER;
use super::limits::SKIP_TIME;
use super::rendezvous::monitors;
use super::rendezvous::weight;
use crate::rpc::message::GossipBody;
use crate::types::DomainId;
use crate::types::MonoTime;
use crate::types::NodeId;

/// Delivery state of the heartbeats to one monitoring entry.
#[derive(Clone, Debug, Default)]
struct MonitorState {
    unanswered: u32,
    acked: bool,
    skipped_until: Option<MonoTime>,
}

/// The entries that monitor one member, and whether they answer its heartbeats.
#[derive(Clone, Debug, Default)]
pub(super) struct Heartbeats {
    monitors: BTreeMap<NodeId, MonitorState>,
    /// Number of monitors skipped in each failure domain since its last answer.
    skipped: BTreeMap<DomainId, usize>,
    retries: usize,
}

impl Heartbeats {
    /// Chooses the failure domain whose entries monitor this member: its own while any entry there
    /// answers.
    pub(super) fn choose_watch_domain(
        &mut self,
        now: MonoTime,
        view: &View,
        me: &Member,
    ) -> DomainId {
        let mut usable: BTreeSet<&DomainId> = self
            .usable(now, view, me)
            .map(|entry| &entry.domain)
            .collect();
        usable.retain(|domain| !self.is_unreachable(view, me, domain));
        for preferred in [&me.domain, &me.watch] {
            if usable.contains(preferred) {
                return preferred.clone();
            }
        }
        let best = usable
            .into_iter()
            .max_by_key(|domain| weight(me.node.as_str(), domain.as_str()));
        let Some(best) = best else {
            self.skipped.clear();
            return me.domain.clone();
        };
        best.clone()
    }

    /// Returns the heartbeats to send in this period.
    pub(super) fn tick(
        &mut self,
        now: MonoTime,
        view: &View,
        me: &Member,
    ) -> Vec<(Member, GossipBody)> {
        let sum = entry_sum(view, &me.watch);
        let mut targets: Vec<Member> = self.targets(now, view, me).into_iter().cloned().collect();
        targets.extend(self.next_retry(view, me));
        self.monitors.retain(|node, _| view.get(node).is_some());
        let heartbeats = targets.into_iter().map(|monitor| {
            let state = self.monitors.entry(monitor.node.clone()).or_default();
            let member = (!state.acked).then(|| Box::new(me.clone()));
            if state.record_sent(now) {
                *self.skipped.entry(monitor.domain.clone()).or_default() += 1;
            }
            (monitor, GossipBody::Heartbeat { member, sum })
        });
        heartbeats.collect()
    }

    /// Records an answer from `monitor`, which holds this member's record unless it asks for it.
    pub(super) fn record_answer(&mut self, monitor: &NodeId, domain: &DomainId, ask: bool) {
        self.skipped.remove(domain);
        if let Some(state) = self.monitors.get_mut(monitor) {
            *state = MonitorState {
                acked: !ask,
                ..MonitorState::default()
            };
        }
    }

    /// Sends the changed record again to every monitor.
    pub(super) fn resend_record(&mut self) {
        for state in self.monitors.values_mut() {
            state.acked = false;
        }
    }

    fn targets<'a>(&self, now: MonoTime, view: &'a View, me: &Member) -> Vec<&'a Member> {
        let entries: Vec<&Member> = self
            .usable(now, view, me)
            .filter(|entry| entry.domain == me.watch)
            .collect();
        monitors(&entries, me, MONITORS_PER_MEMBER)
    }

    /// Returns an entry of the member's own failure domain to retry, in rotation, while another
    /// failure domain monitors it.
    fn next_retry(&mut self, view: &View, me: &Member) -> Option<Member> {
        if me.watch == me.domain {
            return None;
        }
        self.retries = self.retries.wrapping_add(1);
        let entries: Vec<&Member> = siblings(view, me, &me.domain).collect();
        let turn = self.retries.checked_rem(entries.len())?;
        entries.get(turn).map(|entry| (*entry).clone())
    }

    fn is_unreachable(&self, view: &View, me: &Member, domain: &DomainId) -> bool {
        let skipped = self.skipped.get(domain).copied().unwrap_or(0);
        let others = siblings(view, me, domain).count();
        skipped > 0 && skipped >= others.min(2 * MONITORS_PER_MEMBER)
    }

    fn usable<'a>(
        &self,
        now: MonoTime,
        view: &'a View,
        me: &Member,
    ) -> impl Iterator<Item = &'a Member> {
        let is_skipped = move |node: &NodeId| {
            let until = self
                .monitors
                .get(node)
                .and_then(|state| state.skipped_until);
            until.is_some_and(|until| now < until)
        };
        let me = me.node.clone();
        view.entries()
            .filter(move |entry| entry.node != me && !entry.leaving && !is_skipped(&entry.node))
    }
}

impl MonitorState {
    /// Counts a sent heartbeat. Returns true, and skips the monitor for [`SKIP_TIME`], if more than
    /// [`MAX_UNANSWERED`] have gone unanswered.
    fn record_sent(&mut self, now: MonoTime) -> bool {
        self.unanswered += 1;
        let is_unresponsive = self.unanswered > MAX_UNANSWERED;
        if is_unresponsive {
            self.unanswered = 0;
            self.skipped_until = Some(now.after(SKIP_TIME));
        }
        is_unresponsive
    }
}

/// Returns the other entries of `domain`.
fn siblings<'a>(
    view: &'a View,
    me: &'a Member,
    domain: &'a DomainId,
) -> impl Iterator<Item = &'a Member> {
    view.entries()
        .filter(move |entry| entry.node != me.node && entry.domain == *domain)
}

/// Returns the digest of the entries of `domain`, which shows whether an agent's list of them is
/// current.
pub(super) fn entry_sum(view: &View, domain: &DomainId) -> u64 {
    view.entries()
        .filter(|entry| entry.domain == *domain && !entry.is_provisional())
        .fold(0, |sum, entry| sum ^ entry.digest())
}
