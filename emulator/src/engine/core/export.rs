//! Export and import of KV caches, which pause and resume sequences.

use jujubewind::types::MonoTime;
use jujubewind::wire::engine::KvHandle;

use super::EngineCore;
use super::Error;
use super::Result;
use super::cost_model::to_u64;
use super::sequence::Sequence;
use super::sequence::Work;

impl EngineCore {
    /// Pauses a sequence by exporting its KV cache, which frees its memory.
    ///
    /// # Errors
    /// The sequence is neither running nor waiting, or the engine is down.
    pub fn export(&mut self, now: MonoTime, id: &str) -> Result<KvHandle> {
        self.check_up(now)?;
        let taken = self.take_running(id).or_else(|| self.take_waiting(id));
        let mut sequence = taken.ok_or(Error::Unknown)?;
        sequence.work = Work::Idle;
        let tokens = sequence.context();
        self.last_handle += 1;
        self.exports.insert(self.last_handle, sequence);
        self.charge_transfer(now, tokens);
        self.start_step(now);
        Ok(KvHandle {
            handle: handle_name(self.incarnation, self.last_handle),
            tokens,
        })
    }

    /// Resumes a paused sequence in the batch.
    ///
    /// # Errors
    /// The export does not exist, its memory or a batch slot is not free, or the engine is down.
    pub fn import(&mut self, now: MonoTime, handle: &str) -> Result<()> {
        self.check_up(now)?;
        let number = self.find_export(handle).ok_or(Error::Unknown)?;
        let sequence = self.exports.get(&number).ok_or(Error::Unknown)?;
        let has_slot = self.running.len() < self.config.batch;
        if sequence.reserved > self.free() || !has_slot {
            return Err(Error::NoMemory);
        }
        let sequence = self.exports.remove(&number).ok_or(Error::Unknown)?;
        self.charge_transfer(now, sequence.context());
        self.insert_running(sequence);
        self.shrink_cache(now);
        self.start_step(now);
        Ok(())
    }

    /// Drops an exported KV cache, which ends its sequence without a complete answer.
    ///
    /// # Errors
    /// The export does not exist, or the engine is down.
    pub fn drop_export(&mut self, now: MonoTime, handle: &str) -> Result<super::SeqKey> {
        self.check_up(now)?;
        let number = self.find_export(handle).ok_or(Error::Unknown)?;
        let sequence = self.exports.remove(&number).ok_or(Error::Unknown)?;
        self.record_ended(&sequence.submit.id);
        Ok(sequence.key)
    }

    /// Inserts a sequence into the batch, which is sorted by rank.
    pub(crate) fn insert_running(&mut self, sequence: Sequence) {
        let rank = sequence.rank();
        let index = self.running.partition_point(|seq| seq.rank() < rank);
        self.running.insert(index, sequence);
    }

    /// Blocks the engine for the time to transfer `tokens` of KV cache.
    fn charge_transfer(&mut self, now: MonoTime, tokens: u64) {
        let micros = to_u64(self.config.cost.transfer(tokens) * self.faults.slow);
        let start = self.busy_until.max(now).max(self.next_step_end(now));
        self.busy_until = MonoTime::from_micros(start.micros().saturating_add(micros));
    }

    fn next_step_end(&self, now: MonoTime) -> MonoTime {
        self.step_end.unwrap_or(now)
    }

    fn find_export(&self, handle: &str) -> Option<u64> {
        let mut numbers = self.exports.keys();
        numbers
            .find(|number| handle_name(self.incarnation, **number) == handle)
            .copied()
    }
}

/// Returns the handle of an export; it contains the incarnation, so handles from before a crash are
/// invalid.
pub(crate) fn handle_name(incarnation: u64, number: u64) -> String {
    format!("kv-{incarnation}-{number}")
}
