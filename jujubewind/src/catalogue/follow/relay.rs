//! The relay tree that distributes a new revision within a failure domain.

use crate::types::NodeId;

/// Number of children of each process in the relay tree.
const FAN_OUT: usize = 4;

/// The members to which `own` relays a revision that `root` read from the store.
///
/// `members` are the entries of the failure domain. While membership views differ, some members
/// may receive a revision twice, which is harmless, or not at all, which gossip repairs.
#[must_use]
pub fn children(members: &[NodeId], root: &NodeId, own: &NodeId) -> Vec<NodeId> {
    let mut order: Vec<&NodeId> = members.iter().filter(|member| *member != root).collect();
    order.sort();
    order.insert(0, root);
    let position = order.iter().position(|member| *member == own);
    let first = position.map_or(order.len(), |position| position * FAN_OUT + 1);
    order
        .into_iter()
        .skip(first)
        .take(FAN_OUT)
        .cloned()
        .collect()
}
