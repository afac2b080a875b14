//! Carries out what a request's machine decides.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;

use flume::Sender;

use super::Job;
use super::caller::Event;
use super::control::Choice;
use super::control::Control;
use super::link::Link;
use super::request::Input;
use super::request::Machine;
use super::request::Output;
use super::request::Target;
use super::reservation::Reservation;
use super::usage::Usage;
use crate::entry::Failure;
use crate::refusal::Refusal;
use crate::rpc::Error;
use crate::rpc::message::CancelReply;
use crate::rpc::message::PullReply;
use crate::rpc::message::StartReply;
use crate::timer::Clock;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Tokens;

/// How long an attempt stays fenced at an agent when its request's time is already over.
const FENCE_TIME: Millis = Millis(10_000);

/// One request on its way.
pub struct Driver {
    /// The request.
    pub job: Job,
    /// When its time is over.
    pub deadline: MonoTime,
    /// When it was admitted.
    pub admitted: MonoTime,
    /// The clock of the deadline.
    pub clock: Clock,
    /// The calls to agents.
    pub link: Link,
    /// The task that owns the entry's shared state.
    pub control: Control,
    /// Where the answer goes.
    pub caller: Sender<Event>,
    /// Whether the caller has its first token.
    pub begun: Cell<bool>,
    /// Whether an agent took the request, or may have.
    pub started: Cell<bool>,
    /// The engines held for a prompt beyond one engine.
    pub group: RefCell<Option<Reservation>>,
}

impl Driver {
    /// Serves the request to its final answer and tells what it used.
    pub async fn run(self) -> Usage {
        let (mut machine, first) = match Machine::new() {
            Ok(made) => made,
            Err(error) => {
                crate::event!(error, "chart_faulty", error = error);
                return Usage::default();
            }
        };
        let mut rng = rand::rng();
        let mut outputs = VecDeque::from([first]);
        while let Some(output) = outputs.pop_front() {
            if let Some(input) = self.perform(output).await {
                outputs.extend(machine.step(input, &mut rng));
            }
        }
        Usage {
            started: self.started.get(),
            output: machine.written(),
        }
    }

    /// Ends the request before it began.
    pub async fn refuse(self, failure: Failure) {
        self.control.record_failure(&self.job, &failure);
        let _ = self.caller.send_async(Event::Failed(failure)).await;
    }

    /// Carries out one output and returns what came of it.
    async fn perform(&self, output: Output) -> Option<Input> {
        if self.caller.is_disconnected() {
            return match output {
                Output::Cancel { target, attempt } => self.cancel(target, attempt),
                Output::Fail(failure) => {
                    self.control.record_failure(&self.job, &failure);
                    None
                }
                _ => Some(Input::Abandoned),
            };
        }
        match output {
            Output::Place { excluded } => Some(self.in_time(self.place(excluded)).await),
            Output::Start {
                target,
                attempt,
                offset,
            } => Some(self.in_time(self.start(target, attempt, offset)).await),
            Output::Pull {
                target,
                attempt,
                offset,
            } => Some(self.in_time(self.pull(target, attempt, offset)).await),
            Output::AskRetry { attempts, reason } => {
                self.control.count_retry(reason);
                Some(Input::Retry(self.control.retry(attempts).await))
            }
            Output::Wait(span) => Some(self.in_time(Self::wait(span)).await),
            Output::Cancel { target, attempt } => self.cancel(target, attempt),
            Output::Dropped => {
                self.control.count_dropped();
                None
            }
            Output::Emit(tokens) => {
                self.note_first_token();
                self.emit(Event::Tokens(tokens)).await
            }
            Output::Finish(finish, count) => {
                self.control.record_served(&self.job, count);
                self.emit(Event::End(finish, count)).await
            }
            Output::Fail(failure) => {
                self.control.record_failure(&self.job, &failure);
                self.emit(Event::Failed(failure)).await
            }
        }
    }

    fn note_first_token(&self) {
        if !self.begun.replace(true) {
            let span = self.clock.now().since(self.admitted);
            self.control.record_first_token(&self.job, span);
        }
    }

    async fn in_time(&self, work: impl Future<Output = Input>) -> Input {
        let remaining = self.remaining();
        if remaining == Millis::ZERO {
            return Input::Expired;
        }
        let outcome = compio::time::timeout(remaining.duration(), work).await;
        outcome.unwrap_or(Input::Expired)
    }

    async fn wait(span: Millis) -> Input {
        compio::time::sleep(span.duration()).await;
        Input::Waited
    }

    async fn place(&self, excluded: Vec<NodeId>) -> Input {
        Input::Placed(self.choose(excluded).await)
    }

    async fn choose(&self, excluded: Vec<NodeId>) -> Result<Target, Refusal> {
        let mut parts = 1;
        loop {
            let targets = self.control.candidates(&self.job, parts, excluded.clone());
            let quotes = self
                .link
                .quotes(&self.job, parts, targets.await?, self.remaining());
            match self.control.pick(&self.job, parts, quotes.await).await? {
                Choice::Target(target) => return Ok(target),
                Choice::Split(more) => parts = more,
            }
        }
    }

    async fn start(&self, target: Target, attempt: AttemptId, offset: Tokens) -> Input {
        if let Some(helpers) = &target.group {
            let reserved = Reservation::make(self, &target, helpers, attempt).await;
            match reserved {
                Ok(reservation) => *self.group.borrow_mut() = Some(reservation),
                Err(refusal) => return Input::Started(Some(StartReply::Refused(refusal))),
            }
        }
        let remaining = self.remaining();
        match self
            .link
            .start(&self.job, &target, attempt, offset, remaining)
            .await
        {
            Ok(reply) => {
                let refused = matches!(reply, StartReply::Refused(_));
                self.started.set(self.started.get() || !refused);
                Input::Started(Some(reply))
            }
            Err(Error::Connect(..)) => Input::Unsent,
            Err(Error::NoAnswer(..)) => {
                self.started.set(true);
                Input::Started(None)
            }
        }
    }

    async fn pull(&self, target: Target, attempt: AttemptId, offset: Tokens) -> Input {
        if self
            .group
            .borrow()
            .as_ref()
            .is_some_and(Reservation::is_lost)
        {
            return Input::Pulled(Some(PullReply::EngineFailed { crash: None }));
        }
        let pull = self.link.pull(&target, attempt, offset, self.remaining());
        let reply = pull.await;
        if let Some(PullReply::EngineFailed { crash: Some(crash) }) = &reply {
            self.control
                .record_crash(&self.job, crash.clone(), target.alone);
        }
        Input::Pulled(reply)
    }

    /// Sends a fence without waiting for its answer.
    fn cancel(&self, target: Target, attempt: AttemptId) -> Option<Input> {
        self.group.borrow_mut().take();
        let link = self.link.clone();
        let remaining = self.remaining().max(FENCE_TIME);
        // The attempt is not older than its request.
        let age = self.clock.now().since(self.admitted);
        let fence = async move {
            let reply = link.cancel(&target, attempt, age, remaining).await;
            if reply == CancelReply::Unknown {
                crate::event!(
                    info,
                    "fence_unanswered",
                    node = target.node,
                    attempt = attempt
                );
            }
        };
        compio::runtime::spawn(fence).detach();
        None
    }

    async fn emit(&self, event: Event) -> Option<Input> {
        let sent = self.caller.send_async(event).await;
        sent.is_err().then_some(Input::Abandoned)
    }

    /// The time left to the request.
    pub fn remaining(&self) -> Millis {
        self.deadline.since(self.clock.now())
    }
}
