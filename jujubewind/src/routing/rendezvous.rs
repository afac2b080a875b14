//! Rendezvous hashing: each key ranks the agents in its own order, and every entry agrees on it.

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::Candidate;
use super::Request;
use crate::types::NodeId;

/// Leading blocks that tell one organisation's instructions from another's.
const SHALLOW: usize = 1;

/// Leading blocks that tell one case file from another.
const DEEP: usize = 16;

/// The keys by which agents with a cached prefix are found, the longest prefix first.
pub fn keys(request: &Request<'_>) -> Vec<u64> {
    let mut keys: Vec<u64> = [DEEP, SHALLOW]
        .iter()
        .filter_map(|&depth| prefix(request.blocks, depth))
        .map(|block| salted(request, block))
        .collect();
    keys.dedup();
    keys
}

/// The agent that `key` ranks first.
pub fn first<'a>(key: u64, members: &[&'a Candidate]) -> Option<&'a Candidate> {
    members
        .iter()
        .copied()
        .max_by_key(|member| rank(key, &member.node))
}

/// The place of `node` in the order of `key`; the highest owns the prefix.
pub fn rank(key: u64, node: &NodeId) -> u64 {
    hash(key, node.as_str())
}

fn prefix(blocks: &[u64], depth: usize) -> Option<u64> {
    let last = blocks.len().min(depth).checked_sub(1)?;
    Some(blocks[last])
}

fn salted(request: &Request<'_>, block: u64) -> u64 {
    hash(hash(block, request.org.as_str()), request.model.as_str())
}

fn hash(seed: u64, text: &str) -> u64 {
    rapidhash_v3_seeded(text.as_bytes(), &RapidSecrets::seed_cpp(seed))
}
