//! The state of one engine's scheduler.

use std::collections::BTreeMap;

use super::Action;
use super::Cost;
use super::Ledger;
use super::Phase;
use super::Settings;
use super::Work;
use super::ended_attempts::EndedAttempts;
use super::rank::Rank;
use super::shares::Shares;
use super::task::Task;
use crate::types::AttemptId;
use crate::types::Class;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::OrgId;
use crate::types::Tokens;

/// A part of a group that waits for memory.
#[derive(Clone, Copy, Debug)]
pub struct PendingPart {
    /// The attempt.
    pub attempt: AttemptId,
    /// The part's memory.
    pub amount: Tokens,
    /// The predicted duration of the group.
    pub span: Millis,
    /// When the request for memory expires.
    pub until: MonoTime,
}

/// Memory held for a part of a group while another engine runs the prefill.
#[derive(Clone, Copy, Debug)]
pub struct HeldPart {
    /// The part's memory.
    pub amount: Tokens,
    /// When the group is predicted to end.
    pub end: MonoTime,
}

/// The admitted tasks and the resources that they share.
#[derive(Clone, Debug)]
pub struct State {
    /// The parameters.
    pub settings: Settings,
    /// The cost model.
    pub cost: Cost,
    /// The memory reservations.
    pub ledger: Ledger,
    /// The recent use by organisation.
    pub shares: Shares,
    /// The admitted attempts.
    pub tasks: BTreeMap<AttemptId, Task>,
    /// The part of a group that waits for memory here.
    pub pending_part: Option<PendingPart>,
    /// The parts of groups held here.
    pub held_parts: BTreeMap<AttemptId, HeldPart>,
    /// The attempts that have ended.
    pub ended: EndedAttempts,
    /// The time up to which engine time is charged.
    pub last_charge: MonoTime,
    /// The actions that the next poll returns.
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
            pending_part: None,
            held_parts: BTreeMap::new(),
            ended: EndedAttempts::default(),
            last_charge: MonoTime::ZERO,
            actions: Vec::new(),
        }
    }

    /// The fair-share weight of `org`, in thousandths.
    #[must_use]
    pub fn weight(&self, org: &OrgId) -> u64 {
        if self.settings.fair_share {
            self.shares.weight(org)
        } else {
            1_000
        }
    }

    /// The rank of `task` in the queue.
    #[must_use]
    pub fn rank(&self, now: MonoTime, task: &Task) -> Rank {
        task.rank(now, &self.settings, &self.cost, self.weight(&task.job.org))
    }

    /// Whether `task` has a long prompt.
    #[must_use]
    pub fn is_long(&self, task: &Task) -> bool {
        self.settings.is_long(task.job.prompt)
    }

    /// The tasks that use the engine.
    pub fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|task| task.phase.in_engine())
    }

    /// Whether a batch slot is free for long or short work.
    #[must_use]
    pub fn has_slot(&self, long: bool) -> bool {
        let used = self.running().count();
        let long_count = self.running().filter(|task| self.is_long(task)).count();
        let long_limit = self
            .settings
            .slots
            .saturating_sub(self.settings.short_slots);
        used < self.settings.slots && (!long || long_count < long_limit)
    }

    /// Charges the time since the last call to the prefill that the engine serves first.
    pub fn charge_prefill_time(&mut self, now: MonoTime) {
        let elapsed = Work::between(self.last_charge, now);
        self.last_charge = now;
        let first = self
            .tasks
            .values_mut()
            .filter(|task| task.phase == Phase::Prefill)
            .min_by_key(|task| (task.priority, task.since, task.arrival));
        if let Some(task) = first {
            task.prefill_spent = task.prefill_spent.saturating_add(elapsed);
        }
    }

    /// Drops an attempt and its reservation, and records whether it reached the engine.
    pub fn forget(&mut self, now: MonoTime, attempt: AttemptId) {
        if self.held_parts.remove(&attempt).is_some() {
            self.actions.push(Action::Release { attempt });
        }
        let task = self.tasks.remove(&attempt);
        let ran = task.as_ref().is_some_and(|one| one.phase != Phase::Waiting);
        let deadline = task.map_or(now, |one| one.deadline);
        self.ended.record(now, attempt, ran, deadline);
        self.ledger.release(attempt);
    }

    /// Whether `task` may be paused: only long work, at most `max_pauses` times, never while its
    /// output is streamed to a reader, and never a group, whose other engines would idle.
    #[must_use]
    pub fn may_pause(&self, task: &Task) -> bool {
        let not_streaming = match task.phase {
            Phase::Prefill => true,
            Phase::Decode => task.job.class == Class::Batch,
            _ => false,
        };
        let alone = task.job.parts == 1;
        not_streaming && alone && self.is_long(task) && task.pauses < self.settings.max_pauses
    }

    /// Whether `task` would still meet its deadline if it were paused for `span`.
    #[must_use]
    pub fn can_wait(&self, now: MonoTime, task: &Task, span: Millis) -> bool {
        let work = task.remaining_work(&self.cost);
        let end = MonoTime::from_micros(now.after(span).micros().saturating_add(work.get()));
        end <= task.deadline
    }

    /// Whether a group that lasts `span` would make waiting long work late.
    #[must_use]
    pub fn would_delay_long_work(&self, now: MonoTime, span: Millis) -> bool {
        self.tasks.values().any(|task| {
            let waits = matches!(task.phase, Phase::Waiting | Phase::Paused);
            waits && self.is_long(task) && !self.can_wait(now, task, span)
        })
    }

    /// The number of attempts that wait for the engine.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let waits = |task: &&Task| task.phase == Phase::Waiting;
        self.tasks.values().filter(waits).count()
    }
}
