//! KV memory: who holds it, parts of groups, and the exact listing.

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

/// Memory reserved for a group.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) tokens: u64,
    pub(crate) expires: MonoTime,
}

impl EngineCore {
    /// Reserves memory for a group, or renews the reservation.
    ///
    /// # Errors
    /// The free memory does not suffice, or the engine is down.
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

    /// Gives a group's part back.
    ///
    /// # Errors
    /// No such part, or a sequence runs in it.
    pub fn release_part(&mut self, now: MonoTime, group: &str) -> Result<()> {
        self.check_up(now)?;
        if self.is_used(group) {
            return Err(Error::PartInUse);
        }
        self.parts.remove(group).ok_or(Error::Unknown)?;
        self.wake(now);
        Ok(())
    }

    /// Everything that holds memory or waits for it.
    pub fn list(&mut self, now: MonoTime) -> SequenceList {
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
            .map(|seq| listed(seq, SequenceState::Running))
            .chain(waiting.map(|seq| listed(seq, SequenceState::Waiting)))
            .chain(paused.map(|seq| listed(seq, SequenceState::Paused)))
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

    /// Memory that no sequence and no part holds; the prefix cache lives in it.
    #[must_use]
    pub fn free(&self) -> u64 {
        let running: u64 = self.running.iter().map(|seq| seq.held).sum();
        let parts: u64 = self.parts.values().map(|part| part.tokens).sum();
        self.config.capacity.get().saturating_sub(running + parts)
    }

    /// The leading part of `blocks` that the cache holds, in tokens.
    #[must_use]
    pub fn cached(&mut self, blocks: &[u64]) -> Tokens {
        Tokens(self.cache.lookup(blocks) * BLOCK.get())
    }

    /// The memory that a request holds beside parts, and the engines that share its prefill.
    pub(crate) fn place(&mut self, now: MonoTime, submit: &Submit) -> Result<(u64, u64)> {
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

    /// Drops parts whose time has passed, unless a sequence runs in them here.
    pub(crate) fn expire_parts(&mut self, now: MonoTime) {
        if self.parts.values().all(|part| part.expires > now) {
            return;
        }
        let mut parts = std::mem::take(&mut self.parts);
        parts.retain(|group, part| part.expires > now || self.is_used(group));
        self.parts = parts;
    }

    /// Whether a sequence in the batch or an exported one belongs to `group`.
    fn is_used(&self, group: &str) -> bool {
        let mut sequences = self.running.iter().chain(self.exports.values());
        sequences.any(|seq| seq.submit.group.as_deref() == Some(group))
    }

    /// Evicts cached blocks until they fit into the free memory.
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

    /// Stores the blocks of a prompt that has been computed.
    pub(crate) fn store_blocks(&mut self, now: MonoTime, blocks: &[u64]) {
        let gap = self.faults.gap_events;
        // The first block goes in last, so that it is evicted last.
        for block in blocks.iter().rev() {
            if self.cache.store(*block) {
                self.cache_log.record(now, CacheChange::Stored, *block, gap);
            }
        }
        self.shrink_cache(now);
    }
}

fn listed(seq: &Sequence, state: SequenceState) -> Listed {
    Listed {
        request_id: seq.submit.id.clone(),
        tokens: seq.held,
        state,
    }
}
