//! Performs the outputs of a request's state machine.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;

use flume::Sender;

use super::Job;
use super::agent_clients::AgentClients;
use super::control::Choice;
use super::control::Control;
use super::request::Input;
use super::request::Machine;
use super::request::Output;
use super::request::Target;
use super::reservation::Reservation;
use super::response_event::ResponseEvent;
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

/// Shortest time for which an agent keeps an attempt fenced, even past the request's deadline.
const MIN_FENCE_TIME: Millis = Millis(10_000);

/// Runs one request.
pub struct Driver {
    /// The request.
    pub job: Job,
    /// The deadline of the request.
    pub deadline: MonoTime,
    /// The time of its admission.
    pub admitted: MonoTime,
    /// The clock that `deadline` and `admitted` refer to.
    pub clock: Clock,
    /// The clients of the agents.
    pub agents: AgentClients,
    /// A handle on the task that owns the entry's shared state.
    pub control: Control,
    /// Sends the response to the caller's connection.
    pub caller: Sender<ResponseEvent>,
    /// Whether the first token was sent to the caller.
    pub first_token_sent: Cell<bool>,
    /// Whether an agent accepted the request, or may have.
    pub started: Cell<bool>,
    /// The engines reserved for a prompt that exceeds one engine's memory.
    pub reservation: RefCell<Option<Reservation>>,
}

impl Driver {
    /// Runs the request to its final response and returns its usage.
    pub async fn run(self) -> Usage {
        let (mut machine, first) = match Machine::new() {
            Ok(started) => started,
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

    /// Fails the request before it starts.
    pub async fn refuse(self, failure: Failure) {
        self.control.record_failure(&self.job, &failure);
        let _ = self.caller.send_async(ResponseEvent::Failed(failure)).await;
    }

    /// Performs one output and returns the input that results from it.
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
            Output::Place { excluded } => Some(self.until_deadline(self.place(excluded)).await),
            Output::Start {
                target,
                attempt,
                offset,
            } => Some(
                self.until_deadline(self.start(target, attempt, offset))
                    .await,
            ),
            Output::Pull {
                target,
                attempt,
                offset,
            } => Some(
                self.until_deadline(self.pull(target, attempt, offset))
                    .await,
            ),
            Output::AskRetry { attempts, reason } => {
                self.control.count_retry(reason);
                Some(Input::Retry(self.control.retry(attempts).await))
            }
            Output::Wait(span) => Some(self.until_deadline(Self::wait(span)).await),
            Output::Cancel { target, attempt } => self.cancel(target, attempt),
            Output::Dropped => {
                self.control.count_dropped();
                None
            }
            Output::Emit(tokens) => {
                self.record_first_token();
                self.emit(ResponseEvent::Tokens(tokens)).await
            }
            Output::Finish(finish, count) => {
                self.control.record_served(&self.job, count);
                self.emit(ResponseEvent::End(finish, count)).await
            }
            Output::Fail(failure) => {
                self.control.record_failure(&self.job, &failure);
                self.emit(ResponseEvent::Failed(failure)).await
            }
        }
    }

    fn record_first_token(&self) {
        if !self.first_token_sent.replace(true) {
            let span = self.clock.now().since(self.admitted);
            self.control.record_first_token(&self.job, span);
        }
    }

    /// Runs `work` until the deadline of the request.
    async fn until_deadline(&self, work: impl Future<Output = Input>) -> Input {
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
                .agents
                .quotes(&self.job, parts, targets.await?, self.remaining());
            match self.control.pick(&self.job, parts, quotes.await).await? {
                Choice::Target(target) => return Ok(target),
                Choice::Split(more) => parts = more,
            }
        }
    }

    async fn start(&self, target: Target, attempt: AttemptId, offset: Tokens) -> Input {
        if let Some(helpers) = &target.group {
            let outcome = Reservation::acquire(self, &target, helpers, attempt).await;
            match outcome {
                Ok(reservation) => *self.reservation.borrow_mut() = Some(reservation),
                Err(refusal) => return Input::Started(Some(StartReply::Refused(refusal))),
            }
        }
        let remaining = self.remaining();
        match self
            .agents
            .start(&self.job, &target, attempt, offset, remaining)
            .await
        {
            Ok(reply) => {
                let refused = matches!(reply, StartReply::Refused(_));
                self.started.set(self.started.get() || !refused);
                Input::Started(Some(reply))
            }
            Err(Error::Connect(..)) => Input::Unsent,
            Err(Error::NotDelivered(_)) => {
                Input::Started(Some(StartReply::Refused(Refusal::no_room())))
            }
            Err(Error::NoAnswer(..)) => {
                self.started.set(true);
                Input::Started(None)
            }
        }
    }

    async fn pull(&self, target: Target, attempt: AttemptId, offset: Tokens) -> Input {
        if self
            .reservation
            .borrow()
            .as_ref()
            .is_some_and(Reservation::is_lost)
        {
            return Input::Pulled(Some(PullReply::EngineFailed { crash: None }));
        }
        let pull = self.agents.pull(&target, attempt, offset, self.remaining());
        let reply = pull.await;
        if let Some(PullReply::EngineFailed { crash: Some(crash) }) = &reply {
            self.control
                .record_crash(&self.job, crash.clone(), target.alone);
        }
        Input::Pulled(reply)
    }

    /// Releases the reservation and fences the attempt, without waiting for the agent's answer.
    fn cancel(&self, target: Target, attempt: AttemptId) -> Option<Input> {
        self.reservation.borrow_mut().take();
        let agents = self.agents.clone();
        let remaining = self.remaining().max(MIN_FENCE_TIME);
        // An upper bound: the attempt cannot be older than the request's admission.
        let age = self.clock.now().since(self.admitted);
        let fence = async move {
            let reply = agents.cancel(&target, attempt, age, remaining).await;
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

    async fn emit(&self, event: ResponseEvent) -> Option<Input> {
        let sent = self.caller.send_async(event).await;
        sent.is_err().then_some(Input::Abandoned)
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Millis {
        self.deadline.since(self.clock.now())
    }
}
