//! Rendezvous hashing: each key gives every agent a score, on which all entries agree.

use rapidhash::v3::RapidSecrets;
use rapidhash::v3::rapidhash_v3_seeded;

use super::Candidate;
use super::Request;
use crate::types::NodeId;

/// Leading blocks that identify an organisation's instructions.
const INSTRUCTION_BLOCKS: usize = 1;

/// Leading blocks that identify a document.
const DOCUMENT_BLOCKS: usize = 16;

/// The keys that select the agents with a cached prefix, longest prefix first.
pub fn keys(request: &Request<'_>) -> Vec<u64> {
    let mut keys: Vec<u64> = [DOCUMENT_BLOCKS, INSTRUCTION_BLOCKS]
        .iter()
        .filter_map(|&depth| prefix(request.blocks, depth))
        .map(|block| key(request, block))
        .collect();
    keys.dedup();
    keys
}

/// The agent with the highest score for `key`, which owns its prefix.
pub fn owner<'a>(key: u64, members: &[&'a Candidate]) -> Option<&'a Candidate> {
    members
        .iter()
        .copied()
        .max_by_key(|member| score(key, &member.node))
}

/// The score of `node` for `key`; the agent with the highest score owns the prefix.
pub fn score(key: u64, node: &NodeId) -> u64 {
    hash(key, node.as_str())
}

/// The hash of the first `depth` blocks: each block's hash includes those before it.
fn prefix(blocks: &[u64], depth: usize) -> Option<u64> {
    let last = blocks.len().min(depth).checked_sub(1)?;
    Some(blocks[last])
}

fn key(request: &Request<'_>, block: u64) -> u64 {
    hash(hash(block, request.org.as_str()), request.model.as_str())
}

fn hash(seed: u64, text: &str) -> u64 {
    rapidhash_v3_seeded(text.as_bytes(), &RapidSecrets::seed_cpp(seed))
}
