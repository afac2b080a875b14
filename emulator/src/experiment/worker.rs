//! An engine core with the scheduler of its agent.

use std::collections::BTreeMap;
use std::collections::HashSet;

use jujubewind::prefix::BLOCK;
use jujubewind::refusal::Reason;
use jujubewind::refusal::Refusal;
use jujubewind::scheduler::Action;
use jujubewind::scheduler::Cost;
use jujubewind::scheduler::Job;
use jujubewind::scheduler::Scheduler;
use jujubewind::scheduler::Settings;
use jujubewind::types::AttemptId;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;
use jujubewind::wire::engine::CacheChange;

use super::convert::to_u64;
use crate::engine::core::EngineConfig;
use crate::engine::core::EngineCore;
use crate::engine::core::Output;
use crate::engine::core::Prompt;
use crate::engine::core::SeqKey;
use crate::engine::core::Submit;

/// The model that every engine serves.
pub const MODEL: &str = "large";

/// An event of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The first token was generated.
    FirstToken(AttemptId),
    /// The answer is complete; with the number of cached prompt tokens.
    Finished(AttemptId, Tokens),
    /// The attempt ended without a complete answer.
    Failed(AttemptId, Reason),
}

/// An engine core with its scheduler.
#[derive(Debug)]
pub struct Worker {
    /// The engine.
    pub core: EngineCore,
    /// The scheduler.
    pub scheduler: Scheduler,
    submits: BTreeMap<AttemptId, Submit>,
    keys: BTreeMap<SeqKey, AttemptId>,
    handles: BTreeMap<AttemptId, String>,
    /// Blocks that the published events report as cached.
    cached: HashSet<u64>,
    /// The last cache event read.
    last_event: u64,
}

impl Worker {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(config: EngineConfig, settings: Settings) -> Self {
        let token = to_u64(config.cost.prefill_token * 1_000.0);
        let context = to_u64(config.cost.attention * 1_024_000.0);
        let step = to_u64(config.cost.base);
        Self {
            core: EngineCore::new(config, 1),
            scheduler: Scheduler::new(settings, Cost::new(token, context, step)),
            submits: BTreeMap::new(),
            keys: BTreeMap::new(),
            handles: BTreeMap::new(),
            cached: HashSet::new(),
            last_event: 0,
        }
    }

    /// Returns how much of a prompt is cached according to the published events, which arrive late
    /// and with gaps.
    pub fn cached_tokens(&mut self, now: MonoTime, blocks: &[u64]) -> Tokens {
        let update = self.core.cache_events(now, self.last_event);
        self.last_event = update.last;
        for event in update.events {
            match event.kind {
                CacheChange::Stored => self.cached.insert(event.block.0),
                CacheChange::Evicted => self.cached.remove(&event.block.0),
            };
        }
        let known = |block: &&u64| self.cached.contains(block);
        Tokens(blocks.iter().take_while(known).count() as u64 * BLOCK.get())
    }

    /// Admits an attempt.
    ///
    /// # Errors
    /// The scheduler refuses it.
    pub fn start(
        &mut self,
        now: MonoTime,
        job: Job,
        prompt: Prompt,
        group: Option<String>,
    ) -> Result<(), Refusal> {
        let (attempt, output) = (job.attempt, job.output);
        self.scheduler.admit(now, job)?;
        let submit = Submit {
            id: attempt.to_string(),
            model: MODEL.to_owned(),
            prompt,
            max_tokens: output.get(),
            priority: 0,
            offset: 0,
            group,
        };
        self.submits.insert(attempt, submit);
        Ok(())
    }

    /// Advances the engine and the scheduler to `now` and returns the events.
    pub fn advance(&mut self, now: MonoTime) -> Vec<AttemptEvent> {
        let mut events = Vec::new();
        let mut outputs = Vec::new();
        self.core.step(now, &mut outputs);
        for output in outputs {
            self.handle_output(now, output, &mut events);
        }
        self.run_scheduler(now, &mut events);
        events
    }

    /// Executes the scheduler's actions until it has none.
    pub fn run_scheduler(&mut self, now: MonoTime, events: &mut Vec<AttemptEvent>) {
        loop {
            let actions = self.scheduler.poll(now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(now, action, events);
            }
        }
    }

    fn handle_output(&mut self, now: MonoTime, output: Output, events: &mut Vec<AttemptEvent>) {
        match output {
            Output::Token { key, offset: 0 } => {
                if let Some(&attempt) = self.keys.get(&key) {
                    self.scheduler.record_first_token(now, attempt);
                    events.push(AttemptEvent::FirstToken(attempt));
                }
            }
            Output::Finished { key, usage, .. } => {
                if let Some(attempt) = self.keys.remove(&key) {
                    let written = Tokens(usage.completion);
                    self.scheduler.record_progress(now, attempt, written);
                    self.scheduler.record_end(now, attempt);
                    self.submits.remove(&attempt);
                    events.push(AttemptEvent::Finished(attempt, Tokens(usage.cached)));
                }
            }
            Output::Token { .. } | Output::Failed { .. } => {}
        }
    }

    fn execute(&mut self, now: MonoTime, action: Action, events: &mut Vec<AttemptEvent>) {
        match action {
            Action::Submit { attempt, priority } => self.submit(now, attempt, priority),
            Action::Pause { attempt } => {
                if let Ok(export) = self.core.export(now, &attempt.to_string()) {
                    self.handles.insert(attempt, export.handle);
                    self.scheduler.record_pause(now, attempt);
                }
            }
            Action::Resume { attempt, .. } => {
                if let Some(handle) = self.handles.remove(&attempt) {
                    self.core
                        .import(now, &handle)
                        .expect("the scheduler reserved memory for the import");
                }
            }
            Action::Cancel { attempt } => {
                self.core.cancel(now, &attempt.to_string());
                self.handles.remove(&attempt);
                self.submits.remove(&attempt);
                self.scheduler.record_end(now, attempt);
                events.push(AttemptEvent::Failed(attempt, Reason::DeadlinePassed));
            }
            Action::Expire { attempt, refusal } => {
                self.submits.remove(&attempt);
                events.push(AttemptEvent::Failed(attempt, refusal.reason));
            }
            Action::Release { attempt } => {
                // The engine drops a part itself when the sequence in it finishes.
                let _ = self.core.release_part(now, &attempt.to_string());
            }
            Action::Lost { .. } => {}
        }
    }

    fn submit(&mut self, now: MonoTime, attempt: AttemptId, priority: u8) {
        if let Some(submit) = self.submits.get(&attempt) {
            let mut submit = submit.clone();
            submit.priority = i64::from(priority);
            let key = self
                .core
                .submit(now, submit)
                .expect("the engine accepts the request");
            self.keys.insert(key, attempt);
        }
    }
}
