//! The task that makes one at-most-once call under its claim.

use std::pin::pin;

use flume::Receiver;
use flume::Sender;

use super::Claims;
use super::ServiceCall;
use super::ServiceDispatcher;
use crate::claims::Answer;
use crate::claims::BodyHash;
use crate::claims::CallKey;
use crate::claims::Claimant;
use crate::claims::Draft;
use crate::claims::Input;
use crate::claims::Limits;
use crate::claims::Output;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Outcome;
use crate::store::Store;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;

/// Added to waits: their length is rounded down to whole milliseconds, so they could end too early.
const CLOCK_GRANULARITY: Millis = Millis(1);

/// One call with the state machine of its claim.
pub(super) struct ClaimedCall {
    dispatcher: ServiceDispatcher,
    store: Store,
    call: ServiceCall,
    machine: Claimant,
    /// Receives the answer; `None` once it was sent.
    caller: Option<Sender<Answer>>,
}

impl ClaimedCall {
    /// Prepares `call`, whose claim expires with `lease`.
    pub(super) fn new(
        dispatcher: ServiceDispatcher,
        claims: &Claims,
        lease: LeaseId,
        key: &CallKey,
        call: ServiceCall,
    ) -> Self {
        let attempt = AttemptId::random(&mut rand::rng());
        let body = BodyHash::of(&call.body);
        let draft = Draft::new(key, body, attempt, claims.holder.clone(), lease);
        Self {
            machine: Claimant::new(draft, call.deadline, Limits::default()),
            dispatcher,
            store: claims.store.clone(),
            call,
            caller: None,
        }
    }

    /// Starts the task; the receiver yields one answer.
    pub(super) fn start(mut self) -> Receiver<Answer> {
        let (tx, rx) = flume::bounded(1);
        self.caller = Some(tx);
        compio::runtime::spawn(self.run()).detach();
        rx
    }

    /// Runs the state machine to its end, which a graceful shutdown waits for.
    async fn run(mut self) {
        let control = self.dispatcher.control.clone();
        control.begin_work(self.call.deadline);
        let mut next = Some(Input::Begin);
        while let Some(input) = next.take() {
            self.cancel_if_disconnected();
            for output in self.machine.step(self.now(), input) {
                next = self.perform(output).await.or(next);
            }
        }
        control.end_work();
    }

    /// Cancels a call that was not yet sent if the caller has disconnected.
    fn cancel_if_disconnected(&mut self) {
        if self.caller.as_ref().is_some_and(Sender::is_disconnected) {
            self.cancel();
        }
    }

    async fn perform(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Store(op) => Some(Input::Store(self.call_store(op).await)),
            Output::AskHolder(holder) => {
                let alive = self.dispatcher.control.is_alive(holder).await;
                Some(Input::Holder { alive })
            }
            Output::Dispatch(permit) => {
                let outcome = self.dispatcher.dispatch(&self.call, &permit).await;
                Some(Input::Dispatch(outcome))
            }
            Output::Wait(until) => {
                let span = until.since(self.now()).saturating_add(CLOCK_GRANULARITY);
                self.dispatcher.timer.sleep(span).await;
                Some(Input::Tick)
            }
            Output::Answer(answer) => {
                self.reply(answer);
                None
            }
            Output::End => None,
        }
    }

    /// Makes one call to the store. If the caller still waits for its answer, the service call was
    /// not sent yet. At the deadline the caller is therefore told that it was not run, even if the
    /// store has not answered; the claim is cancelled first, so that the call is not sent later.
    async fn call_store(&mut self, op: Op) -> Outcome {
        let store = self.store.clone();
        let mut call = pin!(store.call(op));
        if self.caller.is_some() {
            let left = self.call.deadline.since(self.now());
            let wait = compio::time::timeout(left.duration(), call.as_mut());
            if let Ok(outcome) = wait.await {
                return outcome;
            }
            self.cancel();
            self.reply(Answer::NotRun(Refusal {
                reason: Reason::DeadlinePassed,
                retry: Millis::ZERO,
            }));
        }
        call.await
    }

    fn cancel(&mut self) {
        let now = self.now();
        self.machine.step(now, Input::Cancel);
    }

    fn reply(&mut self, answer: Answer) {
        if let Some(caller) = self.caller.take() {
            let _ = caller.send(answer);
        }
    }

    fn now(&self) -> MonoTime {
        self.dispatcher.timer.clock().now()
    }
}
