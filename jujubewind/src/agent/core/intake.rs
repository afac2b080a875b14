//! Handles the entries' requests: quotes, attempts, parts of groups and calls.

use super::AGE_MARGIN;
use super::Core;
use super::ENGINE_DOWN_RETRY_DELAY;
use super::FULL_RETRY_DELAY;
use super::LEAVING_RETRY_DELAY;
use super::RETENTION;
use super::refusal;
use crate::agent::Attempt;
use crate::agent::Command;
use crate::agent::Phase;
use crate::agent::attempt::Ending;
use crate::agent::attempt::Step;
use crate::pace::NamedLimit;
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
    /// Estimates when a request would get its first and last token.
    #[must_use]
    pub fn quote(&self, now: MonoTime, request: &Quote) -> QuoteReply {
        if let Some(refusal) = self.check_quote(request) {
            return QuoteReply::Refused(refusal);
        }
        match self.scheduler.quote(now, &self.job(request)) {
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

    /// Reserves memory for a part of a group; on success the engine must be asked as well.
    pub fn hold(&mut self, now: MonoTime, request: &Hold) -> Option<Refusal> {
        let id = request.envelope.attempt;
        if self.leaving && !self.scheduler.holds(id) {
            return Some(refusal(Reason::Leaving, LEAVING_RETRY_DELAY));
        }
        if !self.settings.models.contains(&request.model) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if self.fenced.contains_key(&id) {
            return Some(refusal(Reason::Cancelled, Millis::ZERO));
        }
        if !self.quarantine.is_empty() && !self.scheduler.holds(id) {
            return Some(refusal(Reason::QueueFull, FULL_RETRY_DELAY));
        }
        self.scheduler
            .hold(now, id, request.amount, request.span)
            .err()
    }

    /// Releases a part that the engine did not accept; it may be requested again.
    pub fn release_hold(&mut self, now: MonoTime, id: AttemptId) -> Vec<Command> {
        self.scheduler.release_hold(id);
        self.schedule(now)
    }

    /// Accepts or refuses a request; a repeated attempt gets the same reply.
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
        if let Some(refusal) = self.check_quote(&start.quote) {
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

    /// Returns the available part of the output, or `None` if the entry must wait.
    pub fn pull(&mut self, now: MonoTime, request: &Pull) -> Option<PullReply> {
        let Some(attempt) = self.attempts.get_mut(&request.envelope.attempt) else {
            return Some(PullReply::Unknown);
        };
        attempt.last_access = now;
        self.scheduler.renew(now, attempt.id());
        attempt.reply(request.offset)
    }

    /// Cancels an attempt for good and tells whether it ever ran; `uptime` is this process's age.
    pub fn cancel(
        &mut self,
        now: MonoTime,
        uptime: Millis,
        request: &Cancel,
    ) -> (CancelReply, Vec<Command>) {
        let id = request.envelope.attempt;
        let until = now.after(request.envelope.remaining).after(RETENTION);
        self.fenced.insert(id, until);
        if self.calls.was_sent(id) {
            return (CancelReply::Ran, Vec::new());
        }
        let Some(attempt) = self.attempts.get(&id) else {
            // An attempt that is younger than this process would be known if it had run here.
            let never_ran = uptime > request.age.saturating_add(AGE_MARGIN);
            let reply = if never_ran {
                CancelReply::NotRun
            } else {
                CancelReply::Unknown
            };
            self.scheduler.cancel(now, id);
            return (reply, self.schedule(now));
        };
        let waiting = attempt.phase == Phase::Waiting;
        let not_run = self.scheduler.cancel(now, id) || waiting;
        let ending = Ending::Refused(refusal(Reason::Cancelled, Millis::ZERO));
        let mut commands = self.finish(now, id, Step::Cancel, ending);
        commands.extend(self.schedule(now));
        let reply = if not_run {
            CancelReply::NotRun
        } else {
            CancelReply::Ran
        };
        (reply, commands)
    }

    /// Decides whether a call may be sent to the plain service; on `None` the caller must send it.
    ///
    /// The same attempt is never sent twice.
    pub fn begin_call(&mut self, now: MonoTime, call: &Call) -> Option<Refusal> {
        let id = call.envelope.attempt;
        if self.leaving {
            return Some(refusal(Reason::Leaving, LEAVING_RETRY_DELAY));
        }
        if !self.settings.models.contains(&call.service) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if call.envelope.remaining == Millis::ZERO {
            return Some(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        if self.open_count() >= self.settings.slots as usize {
            return Some(refusal(Reason::QueueFull, FULL_RETRY_DELAY));
        }
        let wait = self.call_limit.wait(now);
        if wait > Millis::ZERO {
            return Some(refusal(Reason::QueueFull, wait));
        }
        if self.fenced.contains_key(&id) || !self.calls.begin(id) {
            return Some(refusal(Reason::Cancelled, Millis::ZERO));
        }
        self.call_limit.record_call(now);
        None
    }

    /// Records that a call that was sent at `sent` has ended, and the limit that its response names.
    pub fn end_call(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        sent: MonoTime,
        limit: Option<NamedLimit>,
    ) {
        self.calls.end(now, id);
        if let Some(limit) = limit {
            self.call_limit.record_response(now, sent, limit);
        }
    }

    pub(super) fn check_quote(&self, request: &Quote) -> Option<Refusal> {
        if self.leaving {
            return Some(refusal(Reason::Leaving, LEAVING_RETRY_DELAY));
        }
        if !self.settings.models.contains(&request.model) {
            return Some(refusal(Reason::UnknownModel, Millis::ZERO));
        }
        if request.envelope.remaining == Millis::ZERO {
            return Some(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        if self.engine_down && !request.alone {
            return Some(refusal(Reason::BackendDown, ENGINE_DOWN_RETRY_DELAY));
        }
        let is_busy = if request.alone {
            self.quarantine.is_full()
        } else {
            !self.quarantine.is_empty()
        };
        is_busy.then(|| refusal(Reason::QueueFull, FULL_RETRY_DELAY))
    }

    pub(super) fn job(&self, request: &Quote) -> Job {
        Job {
            attempt: request.envelope.attempt,
            org: request.org.clone(),
            class: request.class,
            prompt: request.prompt,
            cached: self.cached.prefix(&request.marks),
            output: request.output,
            parts: request.parts,
            remaining: request.envelope.remaining,
        }
    }
}
