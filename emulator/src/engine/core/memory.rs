//! KV memory: accounting, reservations for groups, and the listing of sequences.

use jujubewind::prefix::BLOCK;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;
use jujubewind::wire::engine::CacheChange;
use jujubewind::wire::engine::KvHandle;
use jujubewind::wire::engine::Sequence as Listed;
use jujubewind::wire::engine::SequenceList;
use jujubewind::wire::engine::SequenceState;

use super::EngineCore;
use super::Error;
use super::Result;
use super::Submit;
use super::export::handle_name;
use super::sequence::Sequence;

/// Memory of this engine reserved for a group of engines that share one sequence.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) tokens: u64,
    pub(crate) expires: MonoTime,
}

impl EngineCore {
    /// Reserves memory for a group, or renews and resizes its reservation.
    ///
    /// # Errors
    /// There is not enough free memory, or the engine is down.
    pub fn reserve_part(
        &mut self,
        now: MonoTime,
        group: &str,
        tokens: Tokens,
        ttl: Millis,
    ) -> Result<()> {
        self.check_up(now)?;
        self.expire_parts(now);
        let held = self.parts.get(group).map_or(0, |part| part.tokens);
        if tokens.get() > self.free() + held {
            return Err(Error::NoMemory);
        }
        let part = Part {
            tokens: tokens.get(),
            expires: now.after(ttl),
        };
        self.parts.insert(group.to_owned(), part);
        self.shrink_cache(now);
        Ok(())
    }

    /// Releases the memory reserved for a group.
    ///
    /// # Errors
    /// The part does not exist, a sequence uses it, or the engine is down.
    pub fn release_part(&mut self, now: MonoTime, group: &str) -> Result<()> {
        self.check_up(now)?;
        if self.is_part_in_use(group) {
            return Err(Error::PartInUse);
        }
        self.parts.remove(group).ok_or(Error::Unknown)?;
        self.start_step(now);
        Ok(())
    }

    /// Lists everything that holds memory or waits for it.
    pub fn list_sequences(&mut self, now: MonoTime) -> SequenceList {
        self.expire_parts(now);
        let running = self.running.iter();
        let waiting = self.waiting.values();
        let paused = self.exports.values();
        let parts = self.parts.iter().map(|(group, part)| Listed {
            request_id: group.clone(),
            tokens: part.tokens,
            state: SequenceState::Part,
        });
        let sequences = running
            .map(|seq| list_entry(seq, SequenceState::Running))
            .chain(waiting.map(|seq| list_entry(seq, SequenceState::Waiting)))
            .chain(paused.map(|seq| list_entry(seq, SequenceState::Paused)))
            .chain(parts)
            .collect();
        let exports = self.exports.iter().map(|(number, seq)| KvHandle {
            handle: handle_name(self.incarnation, *number),
            tokens: seq.context(),
        });
        SequenceList {
            incarnation: self.incarnation,
            capacity: self.config.capacity.get(),
            free: self.free(),
            sequences,
            exports: exports.collect(),
        }
    }

    /// Returns the memory that no sequence and no part holds, in tokens; the prefix cache uses it.
    #[must_use]
    pub fn free(&self) -> u64 {
        let running: u64 = self.running.iter().map(|seq| seq.reserved).sum();
        let parts: u64 = self.parts.values().map(|part| part.tokens).sum();
        self.config.capacity.get().saturating_sub(running + parts)
    }

    /// Returns the cached prefix of `blocks`, in tokens.
    #[must_use]
    pub fn cached_prefix(&mut self, blocks: &[u64]) -> Tokens {
        Tokens(self.cache.lookup(blocks) * BLOCK.get())
    }

    /// Returns the memory that a request reserves outside of parts, in tokens, and the number of
    /// engines that share its prefill.
    pub(crate) fn memory_demand(&mut self, now: MonoTime, submit: &Submit) -> Result<(u64, u64)> {
        let need = submit.prompt.tokens.get().saturating_add(submit.max_tokens);
        let Some(group) = &submit.group else {
            let fits = need <= self.config.capacity.get();
            return if fits {
                Ok((need, 1))
            } else {
                Err(Error::TooLong)
            };
        };
        self.expire_parts(now);
        let part = self.parts.get(group).ok_or(Error::NoMemory)?;
        Ok((0, need.div_ceil(part.tokens.max(1)).max(1)))
    }

    /// Drops expired parts, except those in use by a sequence here.
    pub(crate) fn expire_parts(&mut self, now: MonoTime) {
        if self.parts.values().all(|part| part.expires > now) {
            return;
        }
        let mut parts = std::mem::take(&mut self.parts);
        parts.retain(|group, part| part.expires > now || self.is_part_in_use(group));
        self.parts = parts;
    }

    /// Returns whether a running or exported sequence belongs to `group`.
    fn is_part_in_use(&self, group: &str) -> bool {
        let mut sequences = self.running.iter().chain(self.exports.values());
        sequences.any(|seq| seq.submit.group.as_deref() == Some(group))
    }

    /// Evicts cached blocks until the cache fits into the free memory.
    pub(crate) fn shrink_cache(&mut self, now: MonoTime) {
        let free = self.free();
        while self.cache.tokens() > free {
            let Some(block) = self.cache.evict() else {
                return;
            };
            let gap = self.faults.gap_events;
            self.cache_log.record(now, CacheChange::Evicted, block, gap);
        }
    }

    /// Adds the blocks of a computed prompt to the prefix cache.
    pub(crate) fn store_blocks(&mut self, now: MonoTime, blocks: &[u64]) {
        let gap = self.faults.gap_events;
        // The first block is stored last, so that it is evicted last.
        for block in blocks.iter().rev() {
            if self.cache.store(*block) {
                self.cache_log.record(now, CacheChange::Stored, *block, gap);
            }
        }
        self.shrink_cache(now);
    }
}

fn list_entry(seq: &Sequence, state: SequenceState) -> Listed {
    Listed {
        request_id: seq.submit.id.clone(),
        tokens: seq.reserved,
        state,
    }
}
