//! Rendezvous hashing: every process that sees the same options makes the same choice.

use rapidhash::v3::rapidhash_v3;

use super::Member;
use super::Role;

/// Returns the weight of `option` for `key`; the option with the highest weight is chosen.
#[must_use]
pub fn weight(key: &str, option: &str) -> u64 {
    let joined = [key.as_bytes(), &[0], option.as_bytes()].concat();
    rapidhash_v3(&joined)
}

/// Returns the `count` entries that monitor `member`, preferring those known by more than a seed.
///
/// Agents are spread by rendezvous hashing. Entries monitor one another in a ring: whichever set of
/// them fails together, one of the failed has a living successor, so the failure is detected.
pub(super) fn monitors<'a>(
    entries: &[&'a Member],
    member: &Member,
    count: usize,
) -> Vec<&'a Member> {
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
