//! Steps of the batch: admission, the work of a step and its duration.

use jujubewind::prefix::BLOCK;
use jujubewind::types::MonoTime;

use super::EngineCore;
use super::Error;
use super::Finish;
use super::Output;
use super::cost_model::to_f64;
use super::cost_model::to_u64;
use super::sequence::Sequence;
use super::sequence::Work;

impl EngineCore {
    /// Runs every step that has ended by `now` and appends its outputs to `outputs`.
    pub fn step(&mut self, now: MonoTime, outputs: &mut Vec<Output>) {
        while let Some(end) = self.step_end.filter(|end| *end <= now) {
            self.step_end = None;
            self.finish_step(end, outputs);
            self.start_step(end);
            self.sample_load(end);
        }
        if !self.waiting.is_empty() {
            self.start_step(now);
        }
    }

    /// Crashes the engine: it loses all sequences, memory and cache and restarts later with a new
    /// incarnation.
    pub fn crash(&mut self, now: MonoTime, outputs: &mut Vec<Output>) {
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let paused = std::mem::take(&mut self.exports).into_values();
        for sequence in running.into_iter().chain(waiting).chain(paused) {
            outputs.push(Output::Failed {
                key: sequence.key,
                error: Error::Crashed,
            });
        }
        self.parts.clear();
        self.cache = super::PrefixCache::default();
        self.cache_log = super::cache_log::CacheLog::default();
        self.load_log = super::load_log::LoadLog::default();
        self.loaded.clone_from(&self.config.models);
        self.fence = 0;
        self.clear_ended();
        self.step_end = None;
        self.incarnation += 1;
        self.down_until = now.after(self.config.restart);
    }

    /// Starts a step unless one is running or the engine has nothing to do.
    pub(crate) fn start_step(&mut self, now: MonoTime) {
        if self.step_end.is_some() {
            return;
        }
        let start = now.max(self.busy_until);
        self.admit(start);
        if self.running.is_empty() {
            return;
        }
        let micros = to_u64(self.plan_step() * self.faults.slow);
        self.step_end = Some(MonoTime::from_micros(start.micros().saturating_add(micros)));
    }

    /// Admits waiting sequences to the batch, in order of rank, until one does not fit.
    fn admit(&mut self, now: MonoTime) {
        if self.waiting.is_empty() {
            return;
        }
        self.expire_parts(now);
        let mut free = self.free();
        while self.running.len() < self.config.batch {
            let Some(first) = self.waiting.first_entry() else {
                break;
            };
            if first.get().reserved > free {
                break;
            }
            let mut sequence = first.remove();
            free -= sequence.reserved;
            self.skip_cached_prefix(&mut sequence);
            self.insert_running(sequence);
        }
        self.shrink_cache(now);
    }

    fn skip_cached_prefix(&mut self, sequence: &mut Sequence) {
        let hits = self.cache.lookup(&sequence.submit.prompt.blocks);
        // The last token is always computed, as its output is the first new token.
        let cached = (hits * BLOCK.get()).min(sequence.prefill.saturating_sub(1));
        sequence.cached = cached;
        sequence.computed = sequence.computed.max(cached);
    }

    /// Assigns each sequence its work for the next step and returns the step's duration in
    /// microseconds.
    fn plan_step(&mut self) -> f64 {
        let cost = &self.config.cost;
        let mut budget = cost.chunk_budget();
        let mut total = cost.base;
        for seq in &mut self.running {
            if !seq.is_prefill() {
                seq.work = Work::Decode;
                total += cost.decode(seq.context());
                continue;
            }
            if budget <= 0.0 {
                seq.work = Work::Idle;
                continue;
            }
            let engines = to_f64(seq.engines);
            let fits = cost.largest_chunk(budget * engines, seq.computed);
            let chunk = fits.min(seq.prefill - seq.computed);
            let time = cost.prefill(chunk, seq.computed) / engines;
            seq.work = Work::Prefill(chunk);
            budget -= time;
            // The chunk used up the budget; a remainder below one token is a rounding error that
            // must not start another chunk.
            if chunk == fits {
                budget = 0.0;
            }
            total += time;
        }
        total
    }

    fn finish_step(&mut self, end: MonoTime, outputs: &mut Vec<Output>) {
        let crashes = |seq: &Sequence| seq.submit.prompt.poison && seq.work != Work::Idle;
        if self.running.iter().any(crashes) {
            self.crash(end, outputs);
            return;
        }
        let mut ended = false;
        for index in 0..self.running.len() {
            self.advance(index, end, outputs);
            ended |= self.running[index].next >= self.running[index].end;
        }
        if ended {
            self.remove_ended(outputs);
        }
    }

    /// Applies the work of the step that has ended to a sequence.
    fn advance(&mut self, index: usize, end: MonoTime, outputs: &mut Vec<Output>) {
        let seq = &mut self.running[index];
        match std::mem::replace(&mut seq.work, Work::Idle) {
            Work::Idle => return,
            Work::Prefill(chunk) => {
                seq.computed += chunk;
                if seq.is_prefill() {
                    return;
                }
                let blocks = seq.submit.prompt.blocks.clone();
                self.store_blocks(end, &blocks);
            }
            Work::Decode => {}
        }
        let each_token = self.config.each_token;
        let seq = &mut self.running[index];
        if seq.next >= seq.end {
            return;
        }
        if each_token || seq.next == seq.submit.offset {
            outputs.push(Output::Token {
                key: seq.key,
                offset: seq.next,
            });
        }
        seq.next += 1;
    }

    fn remove_ended(&mut self, outputs: &mut Vec<Output>) {
        let is_ended = |seq: &mut Sequence| !seq.is_prefill() && seq.next >= seq.end;
        let ended: Vec<Sequence> = self.running.extract_if(.., is_ended).collect();
        for seq in ended {
            let is_complete = seq.end == seq.submit.prompt.answer_tokens;
            let reason = if is_complete {
                Finish::Stop
            } else {
                Finish::Length
            };
            outputs.push(Output::Finished {
                key: seq.key,
                reason,
                usage: seq.usage(),
            });
            if let Some(group) = &seq.submit.group {
                self.parts.remove(group);
            }
            self.record_ended(&seq.submit.id);
        }
    }
}
