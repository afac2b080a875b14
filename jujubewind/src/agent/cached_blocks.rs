//! The agent's view of its engine's prefix cache.

use std::collections::HashSet;

use crate::prefix;
use crate::types::Tokens;

/// Blocks that the engine is believed to hold, derived from its cache events, which may be late or
/// have gaps.
///
/// A wrong view makes an estimate worse but never an output, so a gap simply clears the set.
#[derive(Clone, Debug, Default)]
pub struct CachedBlocks {
    blocks: HashSet<u64>,
    last_seq: u64,
}

impl CachedBlocks {
    /// The sequence number of the last applied event.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Applies event `seq`: `block` was stored or evicted; a gap before it clears the set.
    pub fn apply(&mut self, seq: u64, block: u64, stored: bool) {
        if seq != self.last_seq + 1 {
            self.blocks.clear();
        }
        self.last_seq = seq;
        if stored {
            self.blocks.insert(block);
        } else {
            self.blocks.remove(&block);
        }
    }

    /// A lower bound of the cached prefix of a prompt with these marks.
    #[must_use]
    pub fn prefix(&self, marks: &[u64]) -> Tokens {
        prefix::cached_length(marks, |mark| self.blocks.contains(&mark))
    }
}
