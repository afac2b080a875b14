//! What an agent knows of its engine's prefix cache.

use std::collections::HashSet;

use crate::prefix;
use crate::types::Tokens;

/// Blocks that the engine is believed to hold, learnt from its late and gapped events.
///
/// A wrong belief costs an estimate, never an answer, so a gap simply forgets everything.
#[derive(Clone, Debug, Default)]
pub struct CachedBlocks {
    blocks: HashSet<u64>,
    seen: u64,
}

impl CachedBlocks {
    /// The number of the last event taken.
    #[must_use]
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Notes event `seq`: `block` was stored or evicted; a gap before it forgets all.
    pub fn note(&mut self, seq: u64, block: u64, stored: bool) {
        if seq != self.seen + 1 {
            self.blocks.clear();
        }
        self.seen = seq;
        if stored {
            self.blocks.insert(block);
        } else {
            self.blocks.remove(&block);
        }
    }

    /// How much of a prompt with these marks is cached, at the least.
    #[must_use]
    pub fn prefix(&self, marks: &[u64]) -> Tokens {
        prefix::cached_length(marks, |mark| self.blocks.contains(&mark))
    }
}
