//! Steps of the batch: who enters, what a step does and how long it takes.

use jujubewind::prefix::BLOCK;
use jujubewind::types::MonoTime;

use super::EngineCore;
use super::Error;
use super::Finish;
use super::Output;
use super::cost_model::float;
use super::cost_model::whole;
use super::sequence::Sequence;
use super::sequence::Work;

impl EngineCore {
    /// Carries out every step that has ended by `now` and adds what they gave to `outputs`.
    pub fn step(&mut self, now: MonoTime, outputs: &mut Vec<Output>) {
        while let Some(end) = self.step_end.filter(|end| *end <= now) {
            self.step_end = None;
            self.finish_step(end, outputs);
            self.wake(end);
            self.sample_load(end);
        }
        if !self.waiting.is_empty() {
            self.wake(now);
        }
    }

    /// Loses all sequences, memory and cache; comes back later with a new start number.
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
        self.forget_ended();
        self.step_end = None;
        self.incarnation += 1;
        self.down_until = now.after(self.config.restart);
    }

    /// Begins a step unless one is under way or there is nothing to do.
    pub(crate) fn wake(&mut self, now: MonoTime) {
        if self.step_end.is_some() {
            return;
        }
        let start = now.max(self.busy_until);
        self.admit(start);
        if self.running.is_empty() {
            return;
        }
        let micros = whole(self.plan() * self.faults.slow);
        self.step_end = Some(MonoTime::from_micros(start.micros().saturating_add(micros)));
    }

    /// Takes waiting sequences into the batch, in order of rank, until one does not fit.
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
            if first.get().held > free {
                break;
            }
            let mut sequence = first.remove();
            free -= sequence.held;
            self.find_cached(&mut sequence);
            self.enter(sequence);
        }
        self.shrink_cache(now);
    }

    fn find_cached(&mut self, sequence: &mut Sequence) {
        let hits = self.cache.lookup(&sequence.submit.prompt.blocks);
        // The last token is always computed, for it gives the first new one.
        let cached = (hits * BLOCK.get()).min(sequence.target.saturating_sub(1));
        sequence.cached = cached;
        sequence.done = sequence.done.max(cached);
    }

    /// Gives each sequence its work for the next step; tells the step's length in microseconds.
    fn plan(&mut self) -> f64 {
        let cost = &self.config.cost;
        let mut budget = cost.budget();
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
            let engines = float(seq.engines);
            let fits = cost.chunk_within(budget * engines, seq.done);
            let chunk = fits.min(seq.target - seq.done);
            let time = cost.prefill(chunk, seq.done) / engines;
            seq.work = Work::Prefill(chunk);
            budget -= time;
            // What is left would be less than a token; rounding must not hand it out.
            if chunk == fits {
                budget = 0.0;
            }
            total += time;
        }
        total
    }

    fn finish_step(&mut self, end: MonoTime, outputs: &mut Vec<Output>) {
        let is_poison = |seq: &Sequence| seq.submit.prompt.poison && seq.work != Work::Idle;
        if self.running.iter().any(is_poison) {
            self.crash(end, outputs);
            return;
        }
        let mut ended = false;
        for place in 0..self.running.len() {
            self.advance(place, end, outputs);
            ended |= self.running[place].next >= self.running[place].end;
        }
        if ended {
            self.remove_ended(outputs);
        }
    }

    /// Does a sequence's work of the step that has ended.
    fn advance(&mut self, place: usize, end: MonoTime, outputs: &mut Vec<Output>) {
        let seq = &mut self.running[place];
        match std::mem::replace(&mut seq.work, Work::Idle) {
            Work::Idle => return,
            Work::Prefill(chunk) => {
                seq.done += chunk;
                if seq.is_prefill() {
                    return;
                }
                let blocks = seq.submit.prompt.blocks.clone();
                self.store_blocks(end, &blocks);
            }
            Work::Decode => {}
        }
        let each_token = self.config.each_token;
        let seq = &mut self.running[place];
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
            let is_whole = seq.end == seq.submit.prompt.answer_tokens;
            let reason = if is_whole {
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
            self.end(&seq.submit.id);
        }
    }
}
