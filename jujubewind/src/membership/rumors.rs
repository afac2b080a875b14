//! Recent changes that are still being gossiped.

use std::collections::BTreeMap;

use super::Member;
use super::View;
use super::limits::MAX_RECORDS;
use super::limits::SENDS_PER_DOUBLING;
use crate::types::NodeId;

/// The members whose records changed recently, with the remaining number of sends of each.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    remaining: BTreeMap<NodeId, u32>,
}

impl Rumors {
    /// Starts to gossip the record of `node`; the number of sends grows with the logarithm of
    /// `entries`.
    pub(super) fn add(&mut self, node: NodeId, entries: usize) {
        let sends = SENDS_PER_DOUBLING * (entries + 1).next_power_of_two().ilog2().max(1);
        self.remaining.insert(node, sends);
    }

    /// Records that another process sent the same record of `node`, which reduces the remaining
    /// sends.
    pub(super) fn record_duplicate(&mut self, node: &NodeId) {
        if let Some(remaining) = self.remaining.get_mut(node) {
            *remaining = remaining.saturating_sub(SENDS_PER_DOUBLING);
            if *remaining == 0 {
                self.remaining.remove(node);
            }
        }
    }

    /// Takes the records for one message, those with the most remaining sends first.
    pub(super) fn take(&mut self, view: &View) -> Vec<Member> {
        let mut order: Vec<(u32, NodeId)> = self
            .remaining
            .iter()
            .map(|(node, remaining)| (*remaining, node.clone()))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(MAX_RECORDS);
        let records = order.into_iter().filter_map(|(remaining, node)| {
            if remaining <= 1 {
                self.remaining.remove(&node);
            } else {
                self.remaining.insert(node.clone(), remaining - 1);
            }
            view.get(&node).cloned()
        });
        records.collect()
    }
}
