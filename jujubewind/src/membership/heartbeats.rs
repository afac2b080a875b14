//! The heartbeats that a member sends to its homes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Member;
use super::View;
use super::limits::HOMES;
use super::limits::MISSED;
use super::limits::PASS_OVER;
use super::rendezvous::homes;
use super::rendezvous::weight;
use crate::rpc::message::News;
use crate::types::DomainId;
use crate::types::MonoTime;
use crate::types::NodeId;

/// What a member knows of one entry it heartbeats to.
#[derive(Clone, Debug, Default)]
struct Home {
    unanswered: u32,
    acked: bool,
    passed: Option<MonoTime>,
}

/// The homes of one member, and which of them answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Heartbeats {
    homes: BTreeMap<NodeId, Home>,
    /// Homes passed over since the last answer from each failure domain.
    misses: BTreeMap<DomainId, usize>,
    trial: usize,
}

impl Heartbeats {
    /// The failure domain whose entries are to listen: the member's own while any of them answers.
    pub(super) fn watch(&mut self, now: MonoTime, view: &View, me: &Member) -> DomainId {
        let mut usable: BTreeSet<&DomainId> = self
            .usable(now, view, me)
            .map(|entry| &entry.domain)
            .collect();
        usable.retain(|domain| !self.is_lost(view, me, domain));
        for preferred in [&me.domain, &me.watch] {
            if usable.contains(preferred) {
                return preferred.clone();
            }
        }
        let best = usable
            .into_iter()
            .max_by_key(|domain| weight(me.node.as_str(), domain.as_str()));
        let Some(best) = best else {
            self.misses.clear();
            return me.domain.clone();
        };
        best.clone()
    }

    /// The heartbeats of one period.
    pub(super) fn tick(&mut self, now: MonoTime, view: &View, me: &Member) -> Vec<(Member, News)> {
        let sum = entry_sum(view, &me.watch);
        let mut targets: Vec<Member> = self.targets(now, view, me).into_iter().cloned().collect();
        targets.extend(self.trial(view, me));
        self.homes.retain(|node, _| view.get(node).is_some());
        let heartbeats = targets.into_iter().map(|home| {
            let state = self.homes.entry(home.node.clone()).or_default();
            let member = (!state.acked).then(|| Box::new(me.clone()));
            if state.is_missed(now) {
                *self.misses.entry(home.domain.clone()).or_default() += 1;
            }
            (home, News::Heartbeat { member, sum })
        });
        heartbeats.collect()
    }

    /// Notes an answer of `home`, which has this member's record unless it asks for it.
    pub(super) fn answered(&mut self, home: &NodeId, domain: &DomainId, ask: bool) {
        self.misses.remove(domain);
        if let Some(state) = self.homes.get_mut(home) {
            *state = Home {
                acked: !ask,
                ..Home::default()
            };
        }
    }

    /// Sends the record again to each home, since it changed.
    pub(super) fn record_changed(&mut self) {
        for state in self.homes.values_mut() {
            state.acked = false;
        }
    }

    fn targets<'a>(&self, now: MonoTime, view: &'a View, me: &Member) -> Vec<&'a Member> {
        let entries: Vec<&Member> = self
            .usable(now, view, me)
            .filter(|entry| entry.domain == me.watch)
            .collect();
        homes(&entries, me, HOMES)
    }

    /// While a foreign failure domain listens, one entry of the own one after the other is tried.
    fn trial(&mut self, view: &View, me: &Member) -> Option<Member> {
        if me.watch == me.domain {
            return None;
        }
        self.trial = self.trial.wrapping_add(1);
        let entries: Vec<&Member> = siblings(view, me, &me.domain).collect();
        let turn = self.trial.checked_rem(entries.len())?;
        entries.get(turn).map(|entry| (*entry).clone())
    }

    fn is_lost(&self, view: &View, me: &Member, domain: &DomainId) -> bool {
        let misses = self.misses.get(domain).copied().unwrap_or(0);
        misses > 0 && misses >= siblings(view, me, domain).count().min(2 * HOMES)
    }

    fn usable<'a>(
        &self,
        now: MonoTime,
        view: &'a View,
        me: &Member,
    ) -> impl Iterator<Item = &'a Member> {
        let passed = move |node: &NodeId| {
            let until = self.homes.get(node).and_then(|state| state.passed);
            until.is_some_and(|until| now < until)
        };
        let me = me.node.clone();
        view.entries()
            .filter(move |entry| entry.node != me && !entry.leaving && !passed(&entry.node))
    }
}

impl Home {
    /// Counts a heartbeat that is sent; says whether too many went unanswered before it.
    fn is_missed(&mut self, now: MonoTime) -> bool {
        self.unanswered += 1;
        let missed = self.unanswered > MISSED;
        if missed {
            self.unanswered = 0;
            self.passed = Some(now.after(PASS_OVER));
        }
        missed
    }
}

/// The other entries of `domain`.
fn siblings<'a>(
    view: &'a View,
    me: &'a Member,
    domain: &'a DomainId,
) -> impl Iterator<Item = &'a Member> {
    view.entries()
        .filter(move |entry| entry.node != me.node && entry.domain == *domain)
}

/// The digest of the entries of `domain`, by which a member's list of homes is compared.
pub(super) fn entry_sum(view: &View, domain: &DomainId) -> u64 {
    view.entries()
        .filter(|entry| entry.domain == *domain && !entry.is_provisional())
        .fold(0, |sum, entry| sum ^ entry.digest())
}
