//! An engine with its agent's scheduler.

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

use super::number::whole;
use crate::engine::core::EngineConfig;
use crate::engine::core::EngineCore;
use crate::engine::core::Output;
use crate::engine::core::Prompt;
use crate::engine::core::SeqKey;
use crate::engine::core::Submit;

/// The model that every engine serves.
pub const MODEL: &str = "large";

/// News of an attempt.
#[derive(Clone, Debug)]
pub enum Notice {
    /// Its first token.
    First(AttemptId),
    /// Its end, with the part of its prompt that was cached.
    Done(AttemptId, Tokens),
    /// It ended without a whole answer.
    Ended(AttemptId, Reason),
}

/// One engine core and one scheduler.
#[derive(Debug)]
pub struct Worker {
    /// The engine.
    pub core: EngineCore,
    /// The scheduler.
    pub scheduler: Scheduler,
    prompts: BTreeMap<AttemptId, (Submit, Tokens)>,
    keys: BTreeMap<SeqKey, AttemptId>,
    handles: BTreeMap<AttemptId, String>,
    blocks: HashSet<u64>,
    seen: u64,
}

impl Worker {
    /// An idle engine.
    #[must_use]
    pub fn new(config: EngineConfig, settings: Settings) -> Self {
        let token = whole(config.cost.prefill_token * 1_000.0);
        let context = whole(config.cost.attention * 1_024_000.0);
        let step = whole(config.cost.base);
        Self {
            core: EngineCore::new(config, 1),
            scheduler: Scheduler::new(settings, Cost::new(token, context, step)),
            prompts: BTreeMap::new(),
            keys: BTreeMap::new(),
            handles: BTreeMap::new(),
            blocks: HashSet::new(),
            seen: 0,
        }
    }

    /// How much of a prompt the agent believes cached, from events that come late and with gaps.
    pub fn cached(&mut self, now: MonoTime, blocks: &[u64]) -> Tokens {
        let news = self.core.cache_events(now, self.seen);
        self.seen = news.last;
        for event in news.events {
            match event.kind {
                CacheChange::Stored => self.blocks.insert(event.block.0),
                CacheChange::Evicted => self.blocks.remove(&event.block.0),
            };
        }
        let known = |block: &&u64| self.blocks.contains(block);
        Tokens(blocks.iter().take_while(known).count() as u64 * BLOCK.get())
    }

    /// Takes an attempt or refuses it.
    ///
    /// # Errors
    /// The scheduler's refusal.
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
        self.prompts.insert(attempt, (submit, output));
        Ok(())
    }

    /// Runs the engine and the scheduler up to `now`.
    pub fn advance(&mut self, now: MonoTime) -> Vec<Notice> {
        let mut notices = Vec::new();
        let mut outputs = Vec::new();
        self.core.step(now, &mut outputs);
        for output in outputs {
            self.hear(now, output, &mut notices);
        }
        self.settle(now, &mut notices);
        notices
    }

    /// Carries out the scheduler's orders until it has none.
    pub fn settle(&mut self, now: MonoTime, notices: &mut Vec<Notice>) {
        loop {
            let actions = self.scheduler.poll(now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out(now, action, notices);
            }
        }
    }

    fn hear(&mut self, now: MonoTime, output: Output, notices: &mut Vec<Notice>) {
        match output {
            Output::Token { key, offset: 0 } => {
                if let Some(&attempt) = self.keys.get(&key) {
                    self.scheduler.record_first_token(now, attempt);
                    notices.push(Notice::First(attempt));
                }
            }
            Output::Finished { key, usage, .. } => {
                if let Some(attempt) = self.keys.remove(&key) {
                    let written = Tokens(usage.completion);
                    self.scheduler.record_progress(now, attempt, written);
                    self.scheduler.record_end(now, attempt);
                    self.prompts.remove(&attempt);
                    notices.push(Notice::Done(attempt, Tokens(usage.cached)));
                }
            }
            Output::Token { .. } | Output::Failed { .. } => {}
        }
    }

    fn carry_out(&mut self, now: MonoTime, action: Action, notices: &mut Vec<Notice>) {
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
                    self.core.import(now, &handle).expect("the ledger has room");
                }
            }
            Action::Cancel { attempt } => {
                self.core.cancel(now, &attempt.to_string());
                self.handles.remove(&attempt);
                self.prompts.remove(&attempt);
                self.scheduler.record_end(now, attempt);
                notices.push(Notice::Ended(attempt, Reason::DeadlinePassed));
            }
            Action::Expire { attempt, refusal } => {
                self.prompts.remove(&attempt);
                notices.push(Notice::Ended(attempt, refusal.reason));
            }
            Action::Release { attempt } => {
                // The engine has dropped a part that a sequence ran in.
                let _ = self.core.release_part(now, &attempt.to_string());
            }
            Action::Lost { .. } => {}
        }
    }

    fn submit(&mut self, now: MonoTime, attempt: AttemptId, priority: u8) {
        if let Some((submit, _)) = self.prompts.get(&attempt) {
            let mut submit = submit.clone();
            submit.priority = i64::from(priority);
            let key = self.core.submit(now, submit).expect("the engine takes it");
            self.keys.insert(key, attempt);
        }
    }
}
