//! The prefix cache: an LRU cache of block hashes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use jujubewind::prefix::BLOCK;

/// Blocks of computed prompts, kept in otherwise free KV memory.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    stamps: HashMap<u64, u64>,
    by_stamp: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// The memory used by the cached blocks, in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.stamps.len() as u64 * BLOCK.get()
    }

    /// Returns the number of leading `blocks` that are cached and marks them as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> u64 {
        let hits = blocks
            .iter()
            .take_while(|block| self.stamps.contains_key(block))
            .count();
        // A block is useless without the blocks before it, so later blocks get older stamps and are
        // evicted first.
        for block in blocks[..hits].iter().rev() {
            self.touch(*block);
        }
        hits as u64
    }

    /// Stores `block` and returns whether it is new.
    pub fn store(&mut self, block: u64) -> bool {
        let is_new = !self.stamps.contains_key(&block);
        self.touch(block);
        is_new
    }

    /// Removes and returns the least recently used block.
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
