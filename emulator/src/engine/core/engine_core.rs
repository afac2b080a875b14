//! The engine's state and the requests it accepts between steps.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use jujubewind::types::MonoTime;
use jujubewind::wire::engine::CacheEvents;
use jujubewind::wire::engine::CancelState;
use jujubewind::wire::engine::EngineLoad;

use super::EngineConfig;
use super::EngineFaults;
use super::Error;
use super::PrefixCache;
use super::Result;
use super::SeqKey;
use super::Submit;
use super::cache_log::CacheLog;
use super::load_log::LoadLog;
use super::memory::Part;
use super::sequence::Sequence;

/// The most ids of ended sequences remembered for cancel requests.
const MAX_ENDED_IDS: usize = 1_024;

/// One engine in virtual time.
///
/// Call [`EngineCore::step`] at [`EngineCore::next_event`] or later. It catches up on the time that
/// has passed, so the outputs do not depend on how often it is called.
#[derive(Clone, Debug)]
pub struct EngineCore {
    pub(crate) config: EngineConfig,
    pub(crate) faults: EngineFaults,
    pub(crate) incarnation: u64,
    pub(crate) last_key: u64,
    pub(crate) last_handle: u64,
    /// The batch, sorted by rank.
    pub(crate) running: Vec<Sequence>,
    /// Queued sequences, by rank.
    pub(crate) waiting: BTreeMap<(i64, SeqKey), Sequence>,
    /// Paused sequences, by export number.
    pub(crate) exports: BTreeMap<u64, Sequence>,
    /// Memory reservations, by group.
    pub(crate) parts: BTreeMap<String, Part>,
    pub(crate) cache: PrefixCache,
    pub(crate) cache_log: CacheLog,
    pub(crate) load_log: LoadLog,
    pub(crate) loaded: Vec<String>,
    /// The highest fence seen in an order.
    pub(crate) fence: u64,
    /// The end of the current step.
    pub(crate) step_end: Option<MonoTime>,
    /// No step starts before this time.
    pub(crate) busy_until: MonoTime,
    /// The engine is down after a crash until this time.
    pub(crate) down_until: MonoTime,
    /// The ids in `ended_ids`, oldest first.
    ended: VecDeque<String>,
    ended_ids: HashSet<String>,
}

impl EngineCore {
    /// Creates an idle engine with the given incarnation.
    #[must_use]
    pub fn new(config: EngineConfig, incarnation: u64) -> Self {
        Self {
            loaded: config.models.clone(),
            config,
            faults: EngineFaults::default(),
            incarnation,
            last_key: 0,
            last_handle: 0,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            exports: BTreeMap::new(),
            parts: BTreeMap::new(),
            cache: PrefixCache::default(),
            cache_log: CacheLog::default(),
            load_log: LoadLog::default(),
            fence: 0,
            step_end: None,
            busy_until: MonoTime::ZERO,
            down_until: MonoTime::ZERO,
            ended: VecDeque::new(),
            ended_ids: HashSet::new(),
        }
    }

    /// Queues a request for a sequence.
    ///
    /// # Errors
    /// The engine is down, the model is not loaded, the id is in use, the request exceeds the whole
    /// KV memory, or its group has no reservation here.
    pub fn submit(&mut self, now: MonoTime, submit: Submit) -> Result<SeqKey> {
        self.check_up(now)?;
        if !self.is_loaded(&submit.model) {
            return Err(Error::UnknownModel);
        }
        if self.is_known(&submit.id) {
            return Err(Error::Duplicate);
        }
        let (reserved, engines) = self.memory_demand(now, &submit)?;
        self.last_key += 1;
        let key = SeqKey(self.last_key);
        let sequence = Sequence::new(key, submit, reserved, engines);
        self.waiting.insert(sequence.rank(), sequence);
        self.start_step(now);
        Ok(key)
    }

    /// Cancels a sequence in any state and returns the state it was in and its key.
    pub fn cancel(&mut self, now: MonoTime, id: &str) -> (CancelState, Option<SeqKey>) {
        if let Some(sequence) = self.take_waiting(id) {
            let has_run = sequence.cached > 0 || sequence.context() > 0;
            self.record_ended(id);
            let state = if has_run {
                CancelState::Cancelled
            } else {
                CancelState::NotStarted
            };
            return (state, Some(sequence.key));
        }
        if let Some(sequence) = self.take_running(id).or_else(|| self.take_export(id)) {
            self.record_ended(id);
            self.start_step(now);
            return (CancelState::Cancelled, Some(sequence.key));
        }
        let state = if self.ended_ids.contains(id) {
            CancelState::Finished
        } else {
            CancelState::Unknown
        };
        (state, None)
    }

    /// Returns when [`EngineCore::step`] is due next; [`MonoTime::NEVER`] if the engine is idle.
    #[must_use]
    pub fn next_event(&self) -> MonoTime {
        if let Some(end) = self.step_end {
            return end;
        }
        if self.waiting.is_empty() {
            return MonoTime::NEVER;
        }
        let expiries = self.parts.values().map(|part| part.expires);
        expiries.min().unwrap_or(MonoTime::NEVER)
    }

    /// Returns the published load, which lags by the configured fault delay.
    pub fn published_load(&mut self, now: MonoTime) -> EngineLoad {
        self.sample_load(now);
        let sample = self.load_log.read(now, self.faults.load_lag_ms);
        sample.unwrap_or_else(|| self.current_load())
    }

    /// Returns the published cache events after sequence number `after`.
    #[must_use]
    pub fn cache_events(&self, now: MonoTime, after: u64) -> CacheEvents {
        self.cache_log.read(now, self.faults.event_lag_ms, after)
    }

    /// Returns the current load, without the publishing delay.
    #[must_use]
    pub fn current_load(&self) -> EngineLoad {
        EngineLoad {
            age_ms: 0,
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            free: self.free(),
            capacity: self.config.capacity.get(),
        }
    }

    /// The incarnation, which increases with every crash.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// The active faults.
    #[must_use]
    pub fn faults(&self) -> &EngineFaults {
        &self.faults
    }

    /// Replaces the active faults.
    pub fn set_faults(&mut self, faults: EngineFaults) {
        self.faults = faults;
    }

    /// Stalls the engine until `until`; the current step ends then at the earliest.
    pub fn freeze(&mut self, until: MonoTime) {
        self.busy_until = self.busy_until.max(until);
        self.step_end = self.step_end.map(|end| end.max(until));
    }

    /// Checks that the engine is up.
    ///
    /// # Errors
    /// The engine has crashed and has not restarted yet.
    pub fn check_up(&self, now: MonoTime) -> Result<()> {
        if now < self.down_until {
            return Err(Error::Crashed);
        }
        Ok(())
    }

    pub(crate) fn sample_load(&mut self, now: MonoTime) {
        if self.load_log.is_due(now) {
            let load = self.current_load();
            self.load_log.record(now, load);
        }
    }

    /// Remembers the id of an ended sequence.
    pub(crate) fn record_ended(&mut self, id: &str) {
        if self.ended.len() == MAX_ENDED_IDS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.ended_ids.remove(&oldest);
        }
        if self.ended_ids.insert(id.to_owned()) {
            self.ended.push_back(id.to_owned());
        }
    }

    pub(crate) fn clear_ended(&mut self) {
        self.ended.clear();
        self.ended_ids.clear();
    }

    pub(crate) fn take_running(&mut self, id: &str) -> Option<Sequence> {
        let index = self.running.iter().position(|seq| seq.submit.id == id)?;
        Some(self.running.remove(index))
    }

    pub(crate) fn take_waiting(&mut self, id: &str) -> Option<Sequence> {
        let mut waiting = self.waiting.iter();
        let rank = *waiting.find(|(_, seq)| seq.submit.id == id)?.0;
        self.waiting.remove(&rank)
    }

    fn take_export(&mut self, id: &str) -> Option<Sequence> {
        let mut exports = self.exports.iter();
        let handle = *exports.find(|(_, seq)| seq.submit.id == id)?.0;
        self.exports.remove(&handle)
    }

    fn is_known(&self, id: &str) -> bool {
        let mut known = self
            .running
            .iter()
            .chain(self.waiting.values())
            .chain(self.exports.values());
        known.any(|seq| seq.submit.id == id)
    }
}
