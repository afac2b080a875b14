//! What entries ask of the agent: estimates, attempts, parts of groups and calls.

use super::AGE_MARGIN;
use super::Core;
use super::LINGER;
use super::RETRY_DOWN;
use super::RETRY_FULL;
use super::RETRY_LEAVING;
use super::refusal;
use crate::agent::Attempt;
use crate::agent::Command;
use crate::agent::Phase;
use crate::agent::attempt::Ending;
use crate::agent::attempt::Step;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Call;
use crate::rpc::message::Cancel;
use crate::rpc::message::CancelReply;
use crate::rpc::message::Hold;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::rpc::message::Quote;
use crate::rpc::message::QuoteReply;
use crate::rpc::message::Start;
use crate::rpc::message::StartReply;
use crate::scheduler::Job;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

impl Core {
    /// Estimates when a request would get its first token.
    #[must_use]
    pub fn quote(&self, now: MonoTime, ask: &Quote) -> QuoteReply {
        if let Some(refusal) = self.refusal(ask) {
            return QuoteReply::Refused(refusal);
        }
        match self.scheduler.quote(now, &self.job(ask)) {
            Ok(estimate) => QuoteReply::Estimate {
                first: estimate.first,
                total: estimate.total,
                cached: estimate.cached,
            },
            Err(refusal) if refusal.reason == Reason::PromptTooLong => QuoteReply::TooLong {
                ceiling: self.scheduler.ledger().ceiling(true),
            },
            Err(refusal) => QuoteReply::Refused(refusal),
        }
    }

    /// Holds memory for a part of a group, or says why not; the engine must then be asked too.
    pub fn hold(&mut self, now: MonoTime, ask: &Hold) -> Option<Refusal> {
        let id = ask.envelope.attempt;
        if self.leaving && !self.scheduler.holds(id) {
            return Some(refusal(Reason::Leaving, RETRY_LEAVING));
        }
        if !self.settings.models.contains(&ask.model) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if self.fenced.contains_key(&id) {
            return Some(refusal(Reason::Cancelled, Millis::ZERO));
        }
        if !self.quarantine.is_empty() && !self.scheduler.holds(id) {
            return Some(refusal(Reason::QueueFull, RETRY_FULL));
        }
        self.scheduler.hold(now, id, ask.amount, ask.span).err()
    }

    /// Notes that the engine would not hold a part, which may be asked for again.
    pub fn unhold(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        self.scheduler.release_hold(id);
        self.schedule(now)
    }

    /// Takes or refuses a request; the same attempt again gets the same answer.
    pub fn start(&mut self, now: MonoTime, start: Start) -> (StartReply, Vec<Command>) {
        let id = start.quote.envelope.attempt;
        let accepted = StartReply::Accepted {
            incarnation: self.incarnation,
        };
        if self.attempts.contains_key(&id) {
            return (accepted, Vec::new());
        }
        if self.fenced.contains_key(&id) {
            let refusal = refusal(Reason::Cancelled, Millis::ZERO);
            return (StartReply::Refused(refusal), Vec::new());
        }
        if let Some(refusal) = self.refusal(&start.quote) {
            return (StartReply::Refused(refusal), Vec::new());
        }
        let job = self.job(&start.quote);
        if start.quote.alone {
            self.quarantine.push(id);
        } else if let Err(refusal) = self.scheduler.admit(now, job) {
            return (StartReply::Refused(refusal), Vec::new());
        }
        self.attempts.insert(id, Attempt::new(start, now));
        (accepted, self.schedule(now))
    }

    /// Answers with what there is of an answer, or `None` if the asker must wait.
    pub fn pull(&mut self, now: MonoTime, ask: &Pull) -> Option<PullReply> {
        let Some(attempt) = self.attempts.get_mut(&ask.envelope.attempt) else {
            return Some(PullReply::Unknown);
        };
        attempt.touched = now;
        self.scheduler.renew(now, attempt.id());
        attempt.reply(ask.offset)
    }

    /// Fences an attempt and says whether it ever ran; `uptime` is this process's age.
    pub fn cancel(
        &mut self,
        now: MonoTime,
        uptime: Millis,
        ask: &Cancel,
    ) -> (CancelReply, Vec<Command>) {
        let id = ask.envelope.attempt;
        let until = now.after(ask.envelope.remaining).after(LINGER);
        self.fenced.insert(id, until);
        if self.calls.sent(id) {
            return (CancelReply::Ran, Vec::new());
        }
        let Some(attempt) = self.attempts.get(&id) else {
            let known = uptime > ask.age.saturating_add(AGE_MARGIN);
            let reply = if known {
                CancelReply::NotRun
            } else {
                CancelReply::Unknown
            };
            self.scheduler.cancel(now, id);
            return (reply, self.schedule(now));
        };
        let waiting = attempt.phase == Phase::Waiting;
        let unrun = self.scheduler.cancel(now, id) || waiting;
        let ending = Ending::Refused(refusal(Reason::Cancelled, Millis::ZERO));
        let mut commands = self.finish(now, id, Step::Cancel, ending);
        commands.extend(self.schedule(now));
        let reply = if unrun {
            CancelReply::NotRun
        } else {
            CancelReply::Ran
        };
        (reply, commands)
    }

    /// Decides whether a call may be sent to the plain service; `None` means it is being sent now.
    ///
    /// The same attempt is never sent twice.
    pub fn begin_call(&mut self, call: &Call) -> Option<Refusal> {
        let id = call.envelope.attempt;
        if self.leaving {
            return Some(refusal(Reason::Leaving, RETRY_LEAVING));
        }
        if !self.settings.models.contains(&call.service) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if call.envelope.remaining == Millis::ZERO {
            return Some(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        if self.open() >= self.settings.slots as usize {
            return Some(refusal(Reason::QueueFull, RETRY_FULL));
        }
        if self.fenced.contains_key(&id) || !self.calls.begin(id) {
            return Some(refusal(Reason::Cancelled, Millis::ZERO));
        }
        None
    }

    /// Notes that a call is over.
    pub fn end_call(&mut self, now: MonoTime, id: AttemptId) {
        self.calls.end(now, id);
    }

    pub(super) fn refusal(&self, ask: &Quote) -> Option<Refusal> {
        if self.leaving {
            return Some(refusal(Reason::Leaving, RETRY_LEAVING));
        }
        if !self.settings.models.contains(&ask.model) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if ask.envelope.remaining == Millis::ZERO {
            return Some(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        if self.down && !ask.alone {
            return Some(refusal(Reason::BackendDown, RETRY_DOWN));
        }
        let taken = if ask.alone {
            self.quarantine.is_full()
        } else {
            !self.quarantine.is_empty()
        };
        taken.then(|| refusal(Reason::QueueFull, RETRY_FULL))
    }

    pub(super) fn job(&self, ask: &Quote) -> Job {
        Job {
            attempt: ask.envelope.attempt,
            org: ask.org.clone(),
            class: ask.class,
            prompt: ask.prompt,
            cached: self.cached.prefix(&ask.marks),
            output: ask.output,
            parts: ask.parts,
            remaining: ask.envelope.remaining,
        }
    }
}
