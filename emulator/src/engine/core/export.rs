//! Export and import of KV caches: a sequence leaves the memory and comes back later.

use jujubewind::types::MonoTime;
use jujubewind::wire::engine::KvHandle;

use super::EngineCore;
use super::Error;
use super::Result;
use super::cost_model::whole;
use super::sequence::Sequence;
use super::sequence::Work;

impl EngineCore {
    /// Pauses a sequence and frees its memory.
    ///
    /// # Errors
    /// No such sequence runs or waits, or the engine is down.
    pub fn export(&mut self, now: MonoTime, id: &str) -> Result<KvHandle> {
        self.check_up(now)?;
        let taken = self.take_running(id).or_else(|| self.take_waiting(id));
        let mut sequence = taken.ok_or(Error::Unknown)?;
        sequence.work = Work::Idle;
        let tokens = sequence.context();
        self.last_handle += 1;
        self.exports.insert(self.last_handle, sequence);
        self.charge(now, tokens);
        self.wake(now);
        Ok(KvHandle {
            handle: handle_name(self.incarnation, self.last_handle),
            tokens,
        })
    }

    /// Brings a sequence back into the batch.
    ///
    /// # Errors
    /// No such export, or its memory or a place in the batch is not free.
    pub fn import(&mut self, now: MonoTime, handle: &str) -> Result<()> {
        self.check_up(now)?;
        let number = self.find_export(handle).ok_or(Error::Unknown)?;
        let sequence = self.exports.get(&number).ok_or(Error::Unknown)?;
        let has_place = self.running.len() < self.config.batch;
        if sequence.held > self.free() || !has_place {
            return Err(Error::NoMemory);
        }
        let sequence = self.exports.remove(&number).ok_or(Error::Unknown)?;
        self.charge(now, sequence.context());
        self.enter(sequence);
        self.shrink_cache(now);
        self.wake(now);
        Ok(())
    }

    /// Drops an exported KV cache; its sequence ends without an answer.
    ///
    /// # Errors
    /// No such export.
    pub fn drop_export(&mut self, now: MonoTime, handle: &str) -> Result<super::SeqKey> {
        self.check_up(now)?;
        let number = self.find_export(handle).ok_or(Error::Unknown)?;
        let sequence = self.exports.remove(&number).ok_or(Error::Unknown)?;
        self.end(&sequence.submit.id);
        Ok(sequence.key)
    }

    /// Puts a sequence into the batch, in order of rank.
    pub(crate) fn enter(&mut self, sequence: Sequence) {
        let rank = sequence.rank();
        let place = self.running.partition_point(|seq| seq.rank() < rank);
        self.running.insert(place, sequence);
    }

    /// Keeps the engine busy while `tokens` of KV cache move.
    fn charge(&mut self, now: MonoTime, tokens: u64) {
        let micros = whole(self.config.cost.transfer(tokens) * self.faults.slow);
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

/// The name of an export; that of an earlier incarnation names nothing.
pub(crate) fn handle_name(incarnation: u64, number: u64) -> String {
    format!("kv-{incarnation}-{number}")
}
