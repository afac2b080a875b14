//! The machine that takes one call that may not be repeated from its key to its answer.

use super::Answer;
use super::DispatchOutcome;
use super::Dispatched;
use super::Draft;
use super::Held;
use super::Input;
use super::Kept;
use super::Limits;
use super::Output;
use super::Phase;
use super::Record;
use super::goal::Goal;
use super::pacing::Pacing;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::store::Entry;
use crate::store::Outcome;
use crate::store::Version;
use crate::types::Millis;
use crate::types::MonoTime;

/// One call's way through its claim: at most one store operation is under way at a time.
///
/// Whatever the store leaves in doubt is settled by reading: our attempt in the record means that
/// our write took effect. The send is allowed by one thing only, the sight of our attempt marked as
/// dispatched, and the machine gives that permit once.
#[derive(Debug)]
pub struct Claimant {
    draft: Draft,
    deadline: MonoTime,
    /// What the caller is told once the deadline has passed.
    late: Reason,
    limits: Limits,
    goal: Goal,
    pacing: Pacing,
    /// Whether the store may hold a write of ours.
    wrote: bool,
    /// A claim of another entry of which nothing was sent, and since when it stands still.
    still: Option<(Version, MonoTime)>,
}

impl Claimant {
    /// Makes the machine for one call that must end by `deadline`.
    #[must_use]
    pub const fn new(draft: Draft, deadline: MonoTime, limits: Limits) -> Self {
        Self {
            draft,
            deadline,
            late: Reason::DeadlinePassed,
            limits,
            goal: Goal::Claim,
            pacing: Pacing::new(limits),
            wrote: false,
            still: None,
        }
    }

    /// Takes one input and says what to do next.
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
                self.wrote = true;
                self.pacing.recovered();
                self.on_applied(now, version)
            }
            Outcome::Found(Some(entry)) if !self.draft.is_at(&entry) => self.on_trouble(now),
            Outcome::Found(current) | Outcome::Conflict(current) => {
                self.pacing.recovered();
                self.on_current(now, current)
            }
            Outcome::Unknown => {
                self.wrote = true;
                if self.pacing.first_doubt() {
                    return self.look();
                }
                self.on_trouble(now)
            }
            _ => self.on_trouble(now),
        }
    }

    fn on_applied(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        match self.goal {
            Goal::Claim => self.mark(now, version),
            Goal::Mark => self.permit(now, version),
            Goal::Sent(_) => Vec::new(),
            Goal::Keep(..) | Goal::Free | Goal::Over => self.end(),
        }
    }

    fn on_current(&mut self, now: MonoTime, current: Option<Entry>) -> Vec<Output> {
        match &self.goal {
            Goal::Claim | Goal::Mark => self.on_claim(now, current),
            Goal::Sent(_) => Vec::new(),
            Goal::Keep(held, kept) => match current {
                Some(entry) if entry.version == held.version() => {
                    vec![Output::Store(held.finish(kept.as_ref()))]
                }
                _ => self.end(),
            },
            Goal::Free => self.free(current),
            Goal::Over => self.end(),
        }
    }

    fn on_claim(&mut self, now: MonoTime, current: Option<Entry>) -> Vec<Output> {
        if now >= self.deadline {
            return self.withdraw(self.late, Millis::ZERO);
        }
        self.goal = Goal::Claim;
        let Some(entry) = current else {
            return vec![Output::Store(self.draft.create())];
        };
        let Ok(record) = Record::decode(&entry.value) else {
            return self.give_up(Answer::Unknown);
        };
        if !self.draft.is_ours(&record) {
            return self.on_other(now, entry.version, record);
        }
        match record.phase {
            Phase::Claimed => self.mark(now, entry.version),
            Phase::Dispatched => self.permit(now, entry.version),
            Phase::Free | Phase::Done | Phase::Unknown => self.give_up(Answer::Unknown),
        }
    }

    fn on_other(&mut self, now: MonoTime, version: Version, record: Record) -> Vec<Output> {
        if !self.draft.is_repeat(&record) {
            return self.refuse(Reason::KeyMismatch, Millis::ZERO);
        }
        match record.phase {
            Phase::Claimed => self.on_idle(now, version),
            Phase::Dispatched => vec![Output::AskHolder(record.holder)],
            Phase::Done => self.give_up(Answer::replay(record.kept)),
            Phase::Free | Phase::Unknown => self.give_up(Answer::Unknown),
        }
    }

    /// Takes a claim over once it has stood still for the time of grace, by our own clock.
    fn on_idle(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        let since = match self.still {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.still = Some((version, since));
        let due = since.after(self.limits.grace);
        if now >= due {
            return vec![Output::Store(self.draft.take_over(version))];
        }
        if due >= self.deadline {
            return self.refuse(Reason::KeyBusy, self.limits.busy);
        }
        vec![Output::Wait(due)]
    }

    fn on_holder(&mut self, alive: bool) -> Vec<Output> {
        if alive {
            return self.refuse(Reason::KeyBusy, self.limits.busy);
        }
        self.give_up(Answer::Unknown)
    }

    fn mark(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        if now >= self.deadline {
            return self.withdraw(self.late, Millis::ZERO);
        }
        self.goal = Goal::Mark;
        vec![Output::Store(self.draft.held(version).mark())]
    }

    fn permit(&mut self, now: MonoTime, version: Version) -> Vec<Output> {
        if now >= self.deadline {
            return self.withdraw(self.late, Millis::ZERO);
        }
        let (held, permit) = self.draft.held(version).dispatched(version);
        self.goal = Goal::Sent(held);
        vec![Output::Dispatch(permit)]
    }

    fn on_dispatch(&mut self, outcome: DispatchOutcome) -> Vec<Output> {
        let Goal::Sent(held) = std::mem::replace(&mut self.goal, Goal::Over) else {
            return Vec::new();
        };
        match outcome {
            DispatchOutcome::Answered { status, body } => {
                let kept = Kept::new(status, &body);
                self.keep(held, Some(kept), Answer::Run { status, body })
            }
            DispatchOutcome::Unknown => self.keep(held, None, Answer::Unknown),
            DispatchOutcome::NotRun(refusal) => {
                self.goal = Goal::Free;
                let answer = Output::Answer(Answer::NotRun(refusal));
                vec![answer, Output::Store(held.release())]
            }
        }
    }

    fn keep(&mut self, held: Held<Dispatched>, kept: Option<Kept>, answer: Answer) -> Vec<Output> {
        let op = held.finish(kept.as_ref());
        self.goal = Goal::Keep(held, kept);
        vec![Output::Answer(answer), Output::Store(op)]
    }

    fn free(&mut self, current: Option<Entry>) -> Vec<Output> {
        let is_ours = |entry: &Entry| {
            Record::decode(&entry.value).is_ok_and(|record| self.draft.is_ours(&record))
        };
        match current.filter(is_ours) {
            Some(entry) => vec![Output::Store(self.draft.held(entry.version).release())],
            None => self.end(),
        }
    }

    fn on_trouble(&mut self, now: MonoTime) -> Vec<Output> {
        let claiming = matches!(self.goal, Goal::Claim | Goal::Mark);
        let patience = if claiming {
            self.limits.patience
        } else {
            self.limits.persist
        };
        match self.pacing.failed(now, patience) {
            Some(until) if !claiming || until < self.deadline => vec![Output::Wait(until)],
            _ if claiming => self.withdraw(Reason::StoreDown, self.limits.down),
            _ => self.end(),
        }
    }

    fn on_tick(&mut self, now: MonoTime) -> Vec<Output> {
        match self.goal {
            Goal::Claim | Goal::Mark if now >= self.deadline => {
                self.withdraw(self.late, Millis::ZERO)
            }
            Goal::Sent(_) | Goal::Over => Vec::new(),
            _ => self.look(),
        }
    }

    /// Lets the next input find the deadline passed; a call that was sent goes on to its outcome.
    fn on_cancel(&mut self) -> Vec<Output> {
        self.deadline = MonoTime::ZERO;
        self.late = Reason::Cancelled;
        Vec::new()
    }

    /// Refuses; a claim that may be ours is let go.
    fn withdraw(&mut self, reason: Reason, retry: Millis) -> Vec<Output> {
        if !self.wrote {
            return self.refuse(reason, retry);
        }
        self.goal = Goal::Free;
        let answer = Answer::NotRun(Refusal { reason, retry });
        vec![Output::Answer(answer), Output::Store(self.draft.read())]
    }

    /// Refuses where no claim of ours can be in the store.
    fn refuse(&mut self, reason: Reason, retry: Millis) -> Vec<Output> {
        self.give_up(Answer::NotRun(Refusal { reason, retry }))
    }

    fn give_up(&mut self, answer: Answer) -> Vec<Output> {
        self.goal = Goal::Over;
        vec![Output::Answer(answer), Output::End]
    }

    fn end(&mut self) -> Vec<Output> {
        self.goal = Goal::Over;
        vec![Output::End]
    }

    fn look(&self) -> Vec<Output> {
        vec![Output::Store(self.draft.read())]
    }
}
