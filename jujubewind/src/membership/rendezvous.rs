//! Rendezvous hashing: a choice on which all who see the same options agree.

use rapidhash::v3::rapidhash_v3;

use super::Member;
use super::Role;

/// The weight of `option` for `key`; the highest wins.
#[must_use]
pub fn weight(key: &str, option: &str) -> u64 {
    let joined = [key.as_bytes(), &[0], option.as_bytes()].concat();
    rapidhash_v3(&joined)
}

/// The `count` entries that listen for `member`, those that only a seed names last.
///
/// Agents spread by rendezvous hashing. Entries listen to one another in a ring: whatever set of
/// them dies together, one of the dead has a living successor, so none is overlooked.
pub(super) fn homes<'a>(entries: &[&'a Member], member: &Member, count: usize) -> Vec<&'a Member> {
    let mut ranked: Vec<_> = entries
        .iter()
        .filter(|entry| entry.node != member.node)
        .map(|entry| ((entry.is_provisional(), distance(member, entry)), *entry))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.truncate(count);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

fn distance(member: &Member, entry: &Member) -> u64 {
    match member.role {
        Role::Agent => u64::MAX - weight(member.node.as_str(), entry.node.as_str()),
        Role::Entry => position(entry).wrapping_sub(position(member)),
    }
}

fn position(entry: &Member) -> u64 {
    rapidhash_v3(entry.node.as_str().as_bytes())
}
