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
use super::dispatch_pass::DispatchPass;
use super::forecast::Forecast;
use super::maintenance::Maintenance;
use super::state::HeldPart;
use super::state::PendingPart;
use super::state::State;
use super::task::Task;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// Retry delay while a part of a group waits for memory.
const PART_RETRY_DELAY: Millis = Millis(50);

/// Lifetime of a held part of a group; it is renewed three times in that span.
pub const PART_TTL: Millis = Millis(3_000);

/// Retry delay when the queue is full.
const QUEUE_RETRY_DELAY: Millis = Millis(1_000);

/// Decides which attempts one engine runs, and when.
///
/// The caller calls [`Scheduler::poll`] after every input and executes the returned actions.
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

    /// Predicts when `job` would be served; reserves nothing.
    ///
    /// # Errors
    /// The job would be refused if it were admitted now.
    pub fn quote(&self, now: MonoTime, job: &Job) -> Result<Estimate> {
        let settings = &self.state.settings;
        let long = settings.is_long(job.prompt);
        if job.memory() > self.state.ledger.ceiling(long) {
            return refuse(Reason::PromptTooLong, Millis::ZERO);
        }
        if self.state.waiting_count() >= settings.max_waiting {
            return refuse(Reason::QueueFull, QUEUE_RETRY_DELAY);
        }
        let estimate = Forecast::new(&self.state, now).estimate(job);
        if settings.admission && estimate.total > job.remaining {
            let over = estimate.total.saturating_sub(job.remaining);
            return refuse(Reason::NoTime, over);
        }
        let lateness = self.lateness(now, job);
        if settings.admission && lateness > Work::ZERO {
            return refuse(Reason::NoTime, lateness.millis());
        }
        Ok(estimate)
    }

    fn lateness(&self, now: MonoTime, job: &Job) -> Work {
        let task = Task::new(job.clone(), now, u64::MAX);
        Backlog::new(&self.state, now).lateness(&self.state, now, &task)
    }

    /// Admits `job` and promises it memory; admitting it again changes nothing.
    ///
    /// # Errors
    /// The job is predicted to miss its deadline, its memory cannot be promised, or the attempt has
    /// ended.
    pub fn admit(&mut self, now: MonoTime, job: Job) -> Result<()> {
        let attempt = job.attempt;
        if self.state.tasks.contains_key(&attempt) {
            return Ok(());
        }
        if self.state.ended.ran(attempt).is_some() {
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

    /// Holds memory for a part of a group that is predicted to last `span`; a repeated call renews
    /// the hold.
    ///
    /// # Errors
    /// Too little memory is free, in which case long work is delayed and paused until it is, or the
    /// attempt has ended.
    pub fn hold(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        amount: Tokens,
        span: Millis,
    ) -> Result<()> {
        if self.state.ended.ran(attempt).is_some() {
            return refuse(Reason::Cancelled, Millis::ZERO);
        }
        let until = now.after(PART_TTL);
        let state = self.state.ledger.state(attempt);
        if state.is_none() {
            self.state.ledger.promise(attempt, amount, true, until)?;
        }
        self.state.ledger.renew(attempt, until);
        let held = state.is_some_and(|state| state != ReservationState::Promised);
        let free = held || !self.state.would_delay_long_work(now, span);
        if free
            && self
                .state
                .ledger
                .allocate(attempt, ReservationState::SetAside)
        {
            self.state
                .pending_part
                .take_if(|pending| pending.attempt == attempt);
            let end = now.after(span);
            self.state
                .held_parts
                .entry(attempt)
                .or_insert(HeldPart { amount, end });
            return Ok(());
        }
        let pending = PendingPart {
            attempt,
            amount,
            span,
            until,
        };
        let current = self.state.pending_part.get_or_insert(pending);
        if current.attempt == attempt {
            current.until = until;
        }
        refuse(Reason::NoMemory, PART_RETRY_DELAY)
    }

    /// Releases a part that the engine did not accept; unlike after a cancel, it may be held again.
    pub fn release_hold(&mut self, attempt: AttemptId) {
        self.state.held_parts.remove(&attempt);
        self.state.ledger.release(attempt);
    }

    /// Whether a part of the group `attempt` is held here.
    #[must_use]
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.state.held_parts.contains_key(&attempt)
    }

    /// Renews the reservation of an attempt; `false` if it is unknown here.
    pub fn renew(&mut self, now: MonoTime, attempt: AttemptId) -> bool {
        let until = now.after(self.state.settings.ttl);
        self.state.ledger.renew(attempt, until)
    }

    /// Cancels an attempt and prevents any later start. `true` if it never reached the engine since
    /// this process started; the caller must know whether an earlier process ran it.
    pub fn cancel(&mut self, now: MonoTime, attempt: AttemptId) -> bool {
        Maintenance::new(&mut self.state, now).cancel(attempt)
    }

    /// Records that the engine ended the attempt, for any reason.
    pub fn record_end(&mut self, now: MonoTime, attempt: AttemptId) {
        self.state.charge_prefill_time(now);
        if let Some(task) = self.state.tasks.get(&attempt) {
            let spent = Work::between(task.decode_start, now);
            let count = task.written.saturating_sub(Tokens(1));
            self.state.cost.learn_step(count, spent);
        }
        self.state.forget(now, attempt);
    }

    /// Records that the engine generated the first token.
    pub fn record_first_token(&mut self, now: MonoTime, attempt: AttemptId) {
        self.record_progress(now, attempt, Tokens(1));
    }

    /// Records that the engine has generated `written` tokens of the output.
    pub fn record_progress(&mut self, now: MonoTime, attempt: AttemptId, written: Tokens) {
        self.state.charge_prefill_time(now);
        let State { tasks, cost, .. } = &mut self.state;
        let Some(task) = tasks.get_mut(&attempt) else {
            return;
        };
        task.written = task.written.max(written);
        if task.phase == Phase::Prefill && task.written > Tokens::ZERO {
            task.phase = Phase::Decode;
            task.decode_start = now;
            cost.learn_prefill(&task.job, task.prefill_spent);
        }
    }

    /// Records that the engine exported the attempt's KV cache and freed its memory.
    pub fn record_pause(&mut self, now: MonoTime, attempt: AttemptId) {
        self.state.charge_prefill_time(now);
        if let Some(task) = self.state.tasks.get_mut(&attempt)
            && task.phase == Phase::Pausing
        {
            task.phase = Phase::Paused;
            self.state.ledger.deallocate(attempt);
        }
    }

    /// Compares the state with the engine's list: orphans are cancelled, lost attempts reported.
    pub fn reconcile(&mut self, now: MonoTime, listing: &[ListedSequence]) {
        Maintenance::new(&mut self.state, now).reconcile(listing);
    }

    /// Records that the engine restarted with empty memory and lost all its attempts.
    pub fn record_restart(&mut self, now: MonoTime) {
        Maintenance::new(&mut self.state, now).lose_all();
    }

    /// Returns the actions that are due at `now`.
    pub fn poll(&mut self, now: MonoTime) -> Vec<Action> {
        self.state.charge_prefill_time(now);
        Maintenance::new(&mut self.state, now).expire();
        let mut actions = std::mem::take(&mut self.state.actions);
        actions.extend(DispatchPass::new(&mut self.state, now).run());
        actions
    }

    /// The reservations of the engine's memory.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.state.ledger
    }

    /// The cost model with its corrections.
    #[must_use]
    pub fn cost(&self) -> &Cost {
        &self.state.cost
    }

    /// The number of attempts that wait or run.
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
