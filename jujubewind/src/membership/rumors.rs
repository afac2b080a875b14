//! Changes that are still being told.

use std::collections::BTreeMap;

use super::Member;
use super::View;
use super::limits::MAX_RECORDS;
use super::limits::SPREAD;
use crate::types::NodeId;

/// The members whose records changed lately, with the sends each has left.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    left: BTreeMap<NodeId, u32>,
}

impl Rumors {
    /// Starts telling of `node` among `entries` entries; the sends grow with their logarithm.
    pub(super) fn add(&mut self, node: NodeId, entries: usize) {
        let sends = SPREAD * (entries + 1).next_power_of_two().ilog2().max(1);
        self.left.insert(node, sends);
    }

    /// Notes that another process told of `node` what is known here, so that less telling is left.
    pub(super) fn heard_back(&mut self, node: &NodeId) {
        if let Some(left) = self.left.get_mut(node) {
            *left = left.saturating_sub(SPREAD);
            if *left == 0 {
                self.left.remove(node);
            }
        }
    }

    /// The records for one message, those told least first.
    pub(super) fn take(&mut self, view: &View) -> Vec<Member> {
        let mut order: Vec<(u32, NodeId)> = self
            .left
            .iter()
            .map(|(node, left)| (*left, node.clone()))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(MAX_RECORDS);
        let told = order.into_iter().filter_map(|(left, node)| {
            if left <= 1 {
                self.left.remove(&node);
            } else {
                self.left.insert(node.clone(), left - 1);
            }
            view.get(&node).cloned()
        });
        told.collect()
    }
}
