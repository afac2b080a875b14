//! The tree along which a change spreads within a failure domain.

use crate::types::NodeId;

/// How many processes each process passes a change on to.
const FAN_OUT: usize = 4;

/// The members to which `own` passes on a change that began at `root`.
///
/// `members` are the entries of the failure domain. Views that differ for a while leave gaps or
/// repeats: repeats are harmless, and gossip closes gaps.
#[must_use]
pub fn children(members: &[NodeId], root: &NodeId, own: &NodeId) -> Vec<NodeId> {
    let mut order: Vec<&NodeId> = members.iter().filter(|member| *member != root).collect();
    order.sort();
    order.insert(0, root);
    let place = order.iter().position(|member| *member == own);
    let first = place.map_or(order.len(), |place| place * FAN_OUT + 1);
    order
        .into_iter()
        .skip(first)
        .take(FAN_OUT)
        .cloned()
        .collect()
}
