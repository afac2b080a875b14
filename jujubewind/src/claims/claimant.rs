//! State machine that claims, sends and completes one call that may run at most once.

use super::Answer;
use super::DispatchOutcome;
use super::Dispatched;
use super::Draft;
use super::HeldClaim;
use super::Input;
use super::Limits;
use super::Output;
use super::Phase;
use super::Record;
use super::StoredAnswer;
use super::goal::Goal;
use super::store_backoff::StoreBackoff;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::store::Entry;
use crate::store::Outcome;
use crate::store::Version;
use crate::types::Millis;
use crate::types::MonoTime;

/// The claim of one call, without I/O. At most one store operation is in progress at a time.
///
/// An unknown write outcome is resolved by reading the record: if it names our attempt, the write
/// took effect. The send is permitted only after the store confirmed our attempt as dispatched, and
/// the permit is issued once.
#[derive(Debug)]
pub struct Claimant {
    draft: Draft,
    deadline: MonoTime,
    /// The refusal reason once the deadline has passed.
    expired_reason: Reason,
    limits: Limits,
    goal: Goal,
    backoff: StoreBackoff,
    /// Whether the store may hold a claim that we wrote.
    may_hold_claim: bool,
    /// The version of an undispatched claim of another entry, and when it was first seen.
    stalled: Option<(Version, MonoTime)>,
}

impl Claimant {
    /// Creates the state machine of one call that must end by `deadline`.
    #[must_use]
    pub const fn new(draft: Draft, deadline: MonoTime, limits: Limits) -> Self {
        Self {
            draft,
            deadline,
            expired_reason: Reason::DeadlinePassed,
            limits,
            goal: Goal::Claim,
            backoff: StoreBackoff::new(limits),
            may_hold_claim: false,
            stalled: None,
        }
    }

    /// Handles one input and returns the next outputs.
    pub fn step(&mut self, now: MonoTime, input: Input) -> Vec<Output> {
        match input {
            Input::Begin => vec![Output::Store(self.draft.create())],
            Input::Store(outcome) => self.on_store(now, outcome),
            Input::Holder { alive } => self.on_holder(alive),
            Input::Dispatch(outcome) => self.on_dispatch(outcome),
            Input::Tick => self.on_tick(now),
            Input::Cancel => self.on_cancel(),
        }
    }

    fn on_store(&mut self, now: MonoTime, outcome: Outcome) -> Vec<Output> {
        match outcome {
            Outcome::Applied(version) => {
                self.may_hold_claim = true;
                self.backoff.reset();
                self.on_applied(now, version)
            }
            // The entry of another key: the store's answer is wrong.
            Outcome::Found(Some(entry)) if !self.draft.is_at(&entry) => self.on_store_failure(now),
            Outcome::Found(current) | Outcome::Conflict(current) => {
                self.backoff.reset();
                self.on_current(now, current)
            }
            Outcome::Unknown => {
                self.may_hold_claim = true;
                if self.backoff.take_first_unknown() {
                    return self.read_claim();
                }
                self.on_store_failure(now)
            }
            _ => self.on_store_failure(now),
        }
    }

    fn on_applied(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        match self.goal {
            Goal::Claim => self.mark_dispatched(now, version),
            Goal::MarkDispatched => self.permit_send(now, version),
            Goal::AwaitOutcome(_) => Vec::new(),
            Goal::StoreOutcome(..) | Goal::Release | Goal::Done => self.end(),
        }
    }

    fn on_current(&mut self, now: MonoTime, current: Option<Entry>) -> Vec<Output> {
        match &self.goal {
            Goal::Claim | Goal::MarkDispatched => self.on_claim(now, current),
            Goal::AwaitOutcome(_) => Vec::new(),
            Goal::StoreOutcome(held, kept) => match current {
                Some(entry) if entry.version == held.version() => {
                    vec![Output::Store(held.finish(kept.as_ref()))]
                }
                _ => self.end(),
            },
            Goal::Release => self.release(current),
            Goal::Done => self.end(),
        }
    }

    fn on_claim(&mut self, now: MonoTime, current: Option<Entry>) -> Vec<Output> {
        if now >= self.deadline {
            return self.withdraw(self.expired_reason, Millis::ZERO);
        }
        self.goal = Goal::Claim;
        let Some(entry) = current else {
            return vec![Output::Store(self.draft.create())];
        };
        let Ok(record) = Record::decode(&entry.value) else {
            return self.finish(Answer::Unknown);
        };
        if !self.draft.is_ours(&record) {
            return self.on_foreign_claim(now, entry.version, record);
        }
        match record.phase {
            Phase::Claimed => self.mark_dispatched(now, entry.version),
            Phase::Dispatched => self.permit_send(now, entry.version),
            Phase::Free | Phase::Done | Phase::Unknown => self.finish(Answer::Unknown),
        }
    }

    fn on_foreign_claim(&mut self, now: MonoTime, version: Version, record: Record) -> Vec<Output> {
        if !self.draft.has_same_body(&record) {
            return self.refuse(Reason::KeyMismatch, Millis::ZERO);
        }
        match record.phase {
            Phase::Claimed => self.on_unsent_claim(now, version),
            Phase::Dispatched => vec![Output::AskHolder(record.holder)],
            Phase::Done => self.finish(Answer::replay(record.kept)),
            Phase::Free | Phase::Unknown => self.finish(Answer::Unknown),
        }
    }

    /// Takes over a claim that has not changed for [`Limits::takeover_delay`], by our own clock.
    fn on_unsent_claim(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        let since = match self.stalled {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.stalled = Some((version, since));
        let due = since.after(self.limits.takeover_delay);
        if now >= due {
            return vec![Output::Store(self.draft.take_over(version))];
        }
        if due >= self.deadline {
            return self.refuse(Reason::KeyBusy, self.limits.busy_retry);
        }
        vec![Output::Wait(due)]
    }

    fn on_holder(&mut self, alive: bool) -> Vec<Output> {
        if alive {
            return self.refuse(Reason::KeyBusy, self.limits.busy_retry);
        }
        self.finish(Answer::Unknown)
    }

    fn mark_dispatched(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        if now >= self.deadline {
            return self.withdraw(self.expired_reason, Millis::ZERO);
        }
        self.goal = Goal::MarkDispatched;
        vec![Output::Store(self.draft.held(version).mark())]
    }

    fn permit_send(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        if now >= self.deadline {
            return self.withdraw(self.expired_reason, Millis::ZERO);
        }
        let (held, permit) = self.draft.held(version).dispatched(version);
        self.goal = Goal::AwaitOutcome(held);
        vec![Output::Dispatch(permit)]
    }

    fn on_dispatch(&mut self, outcome: DispatchOutcome) -> Vec<Output> {
        let Goal::AwaitOutcome(held) = std::mem::replace(&mut self.goal, Goal::Done) else {
            return Vec::new();
        };
        match outcome {
            DispatchOutcome::Answered { status, body } => {
                let kept = StoredAnswer::new(status, &body);
                self.store_outcome(held, Some(kept), Answer::Run { status, body })
            }
            DispatchOutcome::Unknown => self.store_outcome(held, None, Answer::Unknown),
            DispatchOutcome::NotRun(refusal) => {
                self.goal = Goal::Release;
                let answer = Output::Answer(Answer::NotRun(refusal));
                vec![answer, Output::Store(held.release())]
            }
        }
    }

    fn store_outcome(
        &mut self,
        held: HeldClaim<Dispatched>,
        kept: Option<StoredAnswer>,
        answer: Answer,
    ) -> Vec<Output> {
        let op = held.finish(kept.as_ref());
        self.goal = Goal::StoreOutcome(held, kept);
        vec![Output::Answer(answer), Output::Store(op)]
    }

    fn release(&mut self, current: Option<Entry>) -> Vec<Output> {
        let is_ours = |entry: &Entry| {
            Record::decode(&entry.value).is_ok_and(|record| self.draft.is_ours(&record))
        };
        match current.filter(is_ours) {
            Some(entry) => vec![Output::Store(self.draft.held(entry.version).release())],
            None => self.end(),
        }
    }

    fn on_store_failure(&mut self, now: MonoTime) -> Vec<Output> {
        let is_claiming = matches!(self.goal, Goal::Claim | Goal::MarkDispatched);
        let timeout = if is_claiming {
            self.limits.claim_timeout
        } else {
            self.limits.result_timeout
        };
        match self.backoff.next_retry(now, timeout) {
            Some(until) if !is_claiming || until < self.deadline => vec![Output::Wait(until)],
            _ if is_claiming => self.withdraw(Reason::StoreDown, self.limits.store_retry),
            _ => self.end(),
        }
    }

    fn on_tick(&mut self, now: MonoTime) -> Vec<Output> {
        match self.goal {
            Goal::Claim | Goal::MarkDispatched if now >= self.deadline => {
                self.withdraw(self.expired_reason, Millis::ZERO)
            }
            Goal::AwaitOutcome(_) | Goal::Done => Vec::new(),
            _ => self.read_claim(),
        }
    }

    /// Expires the deadline, which takes effect at the next input; a call that was sent continues
    /// to its outcome.
    fn on_cancel(&mut self) -> Vec<Output> {
        self.deadline = MonoTime::ZERO;
        self.expired_reason = Reason::Cancelled;
        Vec::new()
    }

    /// Refuses the call and releases the claim if we may hold one.
    fn withdraw(&mut self, reason: Reason, retry: Millis) -> Vec<Output> {
        if !self.may_hold_claim {
            return self.refuse(reason, retry);
        }
        self.goal = Goal::Release;
        let answer = Answer::NotRun(Refusal { reason, retry });
        vec![Output::Answer(answer), Output::Store(self.draft.read())]
    }

    /// Refuses the call when the store cannot hold a claim of ours.
    fn refuse(&mut self, reason: Reason, retry: Millis) -> Vec<Output> {
        self.finish(Answer::NotRun(Refusal { reason, retry }))
    }

    fn finish(&mut self, answer: Answer) -> Vec<Output> {
        self.goal = Goal::Done;
        vec![Output::Answer(answer), Output::End]
    }

    fn end(&mut self) -> Vec<Output> {
        self.goal = Goal::Done;
        vec![Output::End]
    }

    fn read_claim(&self) -> Vec<Output> {
        vec![Output::Store(self.draft.read())]
    }
}
