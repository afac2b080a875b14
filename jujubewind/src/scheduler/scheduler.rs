//! The scheduler of one engine.

use super::Action;
use super::Cost;
use super::Estimate;
use super::Job;
use super::Ledger;
use super::ListedSequence;
use super::Phase;
use super::ReservationState;
use super::Result;
use super::Settings;
use super::Work;
use super::backlog::Backlog;
use super::forecast::Forecast;
use super::placement::Placement;
use super::state::Part;
use super::state::State;
use super::state::Wish;
use super::task::Task;
use super::upkeep::Upkeep;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// When to ask again for the part of a group that waits for memory.
const PART_RETRY: Millis = Millis(50);

/// How long a part of a group holds without being renewed; three renewals are sent in that time.
pub const PART_TTL: Millis = Millis(3_000);

/// When a full queue may have room.
const QUEUE_RETRY: Millis = Millis(1_000);

/// Decides which attempts one engine runs, and when.
///
/// Every input is followed by [`Scheduler::poll`], whose actions the caller carries out.
#[derive(Clone, Debug)]
pub struct Scheduler {
    state: State,
    arrivals: u64,
}

impl Scheduler {
    /// The scheduler of an idle engine.
    #[must_use]
    pub fn new(settings: Settings, cost: Cost) -> Self {
        Self {
            state: State::new(settings, cost),
            arrivals: 0,
        }
    }

    /// When `job` would be served; reserves nothing.
    ///
    /// # Errors
    /// The job would be refused if it were admitted now.
    pub fn quote(&self, now: MonoTime, job: &Job) -> Result<Estimate> {
        let settings = &self.state.settings;
        let long = settings.is_long(job.prompt);
        if job.memory() > self.state.ledger.ceiling(long) {
            return refuse(Reason::PromptTooLong, Millis::ZERO);
        }
        if self.state.waiting() >= settings.max_waiting {
            return refuse(Reason::QueueFull, QUEUE_RETRY);
        }
        let estimate = Forecast::new(&self.state, now).estimate(job);
        if settings.admission && estimate.total > job.remaining {
            let over = estimate.total.saturating_sub(job.remaining);
            return refuse(Reason::NoTime, over);
        }
        let excess = self.excess(now, job);
        if settings.admission && excess > Work::ZERO {
            return refuse(Reason::NoTime, excess.millis());
        }
        Ok(estimate)
    }

    fn excess(&self, now: MonoTime, job: &Job) -> Work {
        let task = Task::new(job.clone(), now, u64::MAX);
        Backlog::new(&self.state, now).excess(&self.state, now, &task)
    }

    /// Takes `job` with a promise of memory, for good; admitting it again changes nothing.
    ///
    /// # Errors
    /// The job is not predicted to end in its time, its memory cannot be promised, or the attempt
    /// is over.
    pub fn admit(&mut self, now: MonoTime, job: Job) -> Result<()> {
        let attempt = job.attempt;
        if self.state.tasks.contains_key(&attempt) {
            return Ok(());
        }
        if self.state.past.ran(attempt).is_some() {
            return refuse(Reason::Cancelled, Millis::ZERO);
        }
        self.quote(now, &job)?;
        let long = self.state.settings.is_long(job.prompt);
        let until = now.after(self.state.settings.ttl);
        let ledger = &mut self.state.ledger;
        ledger.promise(attempt, job.memory(), long, until)?;
        self.arrivals += 1;
        let task = Task::new(job, now, self.arrivals);
        self.state.tasks.insert(attempt, task);
        Ok(())
    }

    /// Holds memory for a part of a group that is predicted to last `span`; asking again renews it.
    ///
    /// # Errors
    /// There is no room yet: long work is kept back and paused until there is. Or the attempt is
    /// over.
    pub fn hold(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        amount: Tokens,
        span: Millis,
    ) -> Result<()> {
        if self.state.past.ran(attempt).is_some() {
            return refuse(Reason::Cancelled, Millis::ZERO);
        }
        let until = now.after(PART_TTL);
        let placed = self.state.ledger.place(attempt);
        if placed.is_none() {
            self.state.ledger.promise(attempt, amount, true, until)?;
        }
        self.state.ledger.renew(attempt, until);
        let held = placed.is_some_and(|place| place != ReservationState::Promised);
        let free = held || !self.state.has_hurry(now, span);
        if free
            && self
                .state
                .ledger
                .allocate(attempt, ReservationState::SetAside)
        {
            self.state.wish.take_if(|wish| wish.attempt == attempt);
            let end = now.after(span);
            self.state
                .parts
                .entry(attempt)
                .or_insert(Part { amount, end });
            return Ok(());
        }
        let wish = Wish {
            attempt,
            amount,
            span,
            until,
        };
        let stands = self.state.wish.get_or_insert(wish);
        if stands.attempt == attempt {
            stands.until = until;
        }
        refuse(Reason::NoMemory, PART_RETRY)
    }

    /// Gives back a part that the engine would not hold; unlike a cancel, it may be held later.
    pub fn release_hold(&mut self, attempt: AttemptId) {
        self.state.parts.remove(&attempt);
        self.state.ledger.release(attempt);
    }

    /// Whether a part of the group `attempt` is held here.
    #[must_use]
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.state.parts.contains_key(&attempt)
    }

    /// Keeps an attempt alive; `false` if it is unknown here.
    pub fn renew(&mut self, now: MonoTime, attempt: AttemptId) -> bool {
        let until = now.after(self.state.settings.ttl);
        self.state.ledger.renew(attempt, until)
    }

    /// Fences an attempt: it never starts afterwards. `true` if it never reached the engine in
    /// this process's life; whether an earlier life ran it, the caller must know.
    pub fn cancel(&mut self, now: MonoTime, attempt: AttemptId) -> bool {
        Upkeep::new(&mut self.state, now).cancel(attempt)
    }

    /// The engine ended the attempt, for whatever reason.
    pub fn record_end(&mut self, now: MonoTime, attempt: AttemptId) {
        self.state.count_time(now);
        if let Some(task) = self.state.tasks.get(&attempt) {
            let spent = Work::between(task.began, now);
            let count = task.written.saturating_sub(Tokens(1));
            self.state.cost.learn_step(count, spent);
        }
        self.state.forget(now, attempt);
    }

    /// The engine wrote the first token.
    pub fn record_first_token(&mut self, now: MonoTime, attempt: AttemptId) {
        self.record_progress(now, attempt, Tokens(1));
    }

    /// The engine has written `written` tokens of the answer.
    pub fn record_progress(&mut self, now: MonoTime, attempt: AttemptId, written: Tokens) {
        self.state.count_time(now);
        let State { tasks, cost, .. } = &mut self.state;
        let Some(task) = tasks.get_mut(&attempt) else {
            return;
        };
        task.written = task.written.max(written);
        if task.phase == Phase::Prefill && task.written > Tokens::ZERO {
            task.phase = Phase::Decode;
            task.began = now;
            cost.learn_prefill(&task.job, task.spent);
        }
    }

    /// The engine exported the attempt's KV cache and freed its memory.
    pub fn record_pause(&mut self, now: MonoTime, attempt: AttemptId) {
        self.state.count_time(now);
        if let Some(task) = self.state.tasks.get_mut(&attempt)
            && task.phase == Phase::Pausing
        {
            task.phase = Phase::Paused;
            self.state.ledger.deallocate(attempt);
        }
    }

    /// Compares with the engine's own list: strays are cancelled, lost attempts reported.
    pub fn reconcile(&mut self, now: MonoTime, listing: &[ListedSequence]) {
        Upkeep::new(&mut self.state, now).reconcile(listing);
    }

    /// The engine restarted with empty memory: all that it had is lost.
    pub fn record_restart(&mut self, now: MonoTime) {
        Upkeep::new(&mut self.state, now).restarted();
    }

    /// What is to be done at `now`.
    pub fn poll(&mut self, now: MonoTime) -> Vec<Action> {
        self.state.count_time(now);
        Upkeep::new(&mut self.state, now).expire();
        let mut actions = std::mem::take(&mut self.state.actions);
        actions.extend(Placement::new(&mut self.state, now).run());
        actions
    }

    /// The memory of the engine.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.state.ledger
    }

    /// The cost model with what was learnt.
    #[must_use]
    pub fn cost(&self) -> &Cost {
        &self.state.cost
    }

    /// Attempts held, waiting or running.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.state.tasks.len()
    }

    /// The phase of an attempt; `None` if it is unknown here.
    #[must_use]
    pub fn phase(&self, attempt: AttemptId) -> Option<Phase> {
        self.state.tasks.get(&attempt).map(|task| task.phase)
    }
}

fn refuse<T>(reason: Reason, retry: Millis) -> Result<T> {
    Err(Refusal { reason, retry })
}
