//! The prefix cache: blocks by hash, the least recently used evicted first.

use std::collections::BTreeMap;
use std::collections::HashMap;

use jujubewind::prefix::BLOCK;

/// Blocks of prompts that were computed, kept in memory that nothing else holds.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    stamps: HashMap<u64, u64>,
    by_stamp: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Tokens of memory that the blocks take.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.stamps.len() as u64 * BLOCK.get()
    }

    /// How many of the leading `blocks` are here; marks them as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> u64 {
        let hits = blocks
            .iter()
            .take_while(|block| self.stamps.contains_key(block))
            .count();
        // Later blocks are useless without the earlier ones, so they get the older stamps.
        for block in blocks[..hits].iter().rev() {
            self.touch(*block);
        }
        hits as u64
    }

    /// Stores `block`; tells whether it is new.
    pub fn store(&mut self, block: u64) -> bool {
        let is_new = !self.stamps.contains_key(&block);
        self.touch(block);
        is_new
    }

    /// Takes out the least recently used block.
    pub fn evict(&mut self) -> Option<u64> {
        let (_, block) = self.by_stamp.pop_first()?;
        self.stamps.remove(&block);
        Some(block)
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(old) = self.stamps.insert(block, self.clock) {
            self.by_stamp.remove(&old);
        }
        self.by_stamp.insert(self.clock, block);
    }
}
