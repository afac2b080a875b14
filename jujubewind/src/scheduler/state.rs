//! All that one engine's scheduler knows.

use std::collections::BTreeMap;

use super::Action;
use super::Cost;
use super::Ledger;
use super::Phase;
use super::Settings;
use super::Work;
use super::past::Past;
use super::rank::Rank;
use super::shares::Shares;
use super::task::Task;
use crate::types::AttemptId;
use crate::types::Class;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::OrgId;
use crate::types::Tokens;

/// Memory that a part of a group waits for.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// The attempt.
    pub attempt: AttemptId,
    /// The part's memory.
    pub amount: Tokens,
    /// How long the group is predicted to last.
    pub span: Millis,
    /// When the wish is forgotten.
    pub until: MonoTime,
}

/// Memory that a part of a group holds while another engine reads the prompt.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The part's memory.
    pub amount: Tokens,
    /// When the group is predicted to end.
    pub end: MonoTime,
}

/// The tasks, and what is shared between them.
#[derive(Clone, Debug)]
pub struct State {
    /// The parameters.
    pub settings: Settings,
    /// The cost model.
    pub cost: Cost,
    /// The memory.
    pub ledger: Ledger,
    /// The organisations' use.
    pub shares: Shares,
    /// The admitted attempts.
    pub tasks: BTreeMap<AttemptId, Task>,
    /// The group that waits for memory here.
    pub wish: Option<Wish>,
    /// The parts of groups held here.
    pub parts: BTreeMap<AttemptId, Part>,
    /// The attempts that are over.
    pub past: Past,
    /// Up to when engine time is counted.
    pub counted: MonoTime,
    /// What the next poll gives.
    pub actions: Vec<Action>,
}

impl State {
    /// The state of an idle engine.
    #[must_use]
    pub fn new(settings: Settings, cost: Cost) -> Self {
        let limit = Tokens(settings.capacity.get().saturating_mul(settings.overcommit));
        Self {
            ledger: Ledger::new(settings.capacity, settings.short_memory, limit),
            settings,
            cost,
            shares: Shares::default(),
            tasks: BTreeMap::new(),
            wish: None,
            parts: BTreeMap::new(),
            past: Past::default(),
            counted: MonoTime::ZERO,
            actions: Vec::new(),
        }
    }

    /// How heavily work of `org` counts.
    #[must_use]
    pub fn weight(&self, org: &OrgId) -> u64 {
        if self.settings.fair_share {
            self.shares.weight(org)
        } else {
            1_000
        }
    }

    /// The place of `task` in the order of work.
    #[must_use]
    pub fn rank(&self, now: MonoTime, task: &Task) -> Rank {
        task.rank(now, &self.settings, &self.cost, self.weight(&task.job.org))
    }

    /// Whether `task` is long work.
    #[must_use]
    pub fn is_long(&self, task: &Task) -> bool {
        self.settings.is_long(task.job.prompt)
    }

    /// The tasks in the engine.
    pub fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.phase.in_engine())
    }

    /// Whether a batch slot is free for long or short work.
    #[must_use]
    pub fn has_slot(&self, long: bool) -> bool {
        let used = self.running().count();
        let longs = self.running().filter(|task| self.is_long(task)).count();
        let most = self
            .settings
            .slots
            .saturating_sub(self.settings.short_slots);
        used < self.settings.slots && (!long || longs < most)
    }

    /// Counts the time since the last call for the prompt that the engine reads first.
    pub fn count_time(&mut self, now: MonoTime) {
        let elapsed = Work::between(self.counted, now);
        self.counted = now;
        let first = self
            .tasks
            .values_mut()
            .filter(|task| task.phase == Phase::Prefill)
            .min_by_key(|task| (task.priority, task.since, task.arrival));
        if let Some(task) = first {
            task.spent = task.spent.saturating_add(elapsed);
        }
    }

    /// Drops an attempt with its reservation, and remembers whether it reached the engine.
    pub fn forget(&mut self, now: MonoTime, attempt: AttemptId) {
        if self.parts.remove(&attempt).is_some() {
            self.actions.push(Action::Release { attempt });
        }
        let task = self.tasks.remove(&attempt);
        let ran = task.as_ref().is_some_and(|one| one.phase != Phase::Waiting);
        let deadline = task.map_or(now, |one| one.deadline);
        self.past.note(now, attempt, ran, deadline);
        self.ledger.release(attempt);
    }

    /// Only long work is paused, never while somebody reads its answer, and not for ever; nor a
    /// group, whose other engines would stand still.
    #[must_use]
    pub fn may_pause(&self, task: &Task) -> bool {
        let idle = match task.phase {
            Phase::Prefill => true,
            Phase::Decode => task.job.class == Class::Batch,
            _ => false,
        };
        let alone = task.job.parts == 1;
        idle && alone && self.is_long(task) && task.pauses < self.settings.max_pauses
    }

    /// Whether `task` would still be in time if it stood still for `span`.
    #[must_use]
    pub fn can_wait(&self, now: MonoTime, task: &Task, span: Millis) -> bool {
        let need = task.need(&self.cost);
        let end = MonoTime::from_micros(now.after(span).micros().saturating_add(need.get()));
        end <= task.deadline
    }

    /// Whether long work waits here that a group of `span` would make late.
    #[must_use]
    pub fn has_hurry(&self, now: MonoTime, span: Millis) -> bool {
        self.tasks.values().any(|task| {
            let waits = matches!(task.phase, Phase::Waiting | Phase::Paused);
            waits && self.is_long(task) && !self.can_wait(now, task, span)
        })
    }

    /// Attempts that wait for the engine.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let waits = |task: &&Task| task.phase == Phase::Waiting;
        self.tasks.values().filter(waits).count()
    }
}
