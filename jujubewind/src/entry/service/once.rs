//! The task that takes one call that may not be repeated through its claim.

use std::pin::pin;

use flume::Receiver;
use flume::Sender;

use super::Calls;
use super::Claims;
use super::Order;
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

/// Clocks count in whole milliseconds here; one more never wakes too early.
const ROUNDING: Millis = Millis(1);

/// One call with its claim's machine.
pub(super) struct Once {
    calls: Calls,
    store: Store,
    order: Order,
    machine: Claimant,
    /// Takes the answer, once.
    caller: Option<Sender<Answer>>,
}

impl Once {
    /// Prepares the call `order`, whose claim ends with `lease`.
    pub(super) fn new(
        calls: Calls,
        claims: &Claims,
        lease: LeaseId,
        key: &CallKey,
        order: Order,
    ) -> Self {
        let attempt = AttemptId::random(&mut rand::rng());
        let body = BodyHash::of(&order.body);
        let draft = Draft::new(key, body, attempt, claims.holder.clone(), lease);
        Self {
            machine: Claimant::new(draft, order.deadline, Limits::default()),
            calls,
            store: claims.store.clone(),
            order,
            caller: None,
        }
    }

    /// Starts the task; the receiver gets one answer.
    pub(super) fn start(mut self) -> Receiver<Answer> {
        let (tx, rx) = flume::bounded(1);
        self.caller = Some(tx);
        compio::runtime::spawn(self.run()).detach();
        rx
    }

    /// A stop of the entry waits until the claim has come to its end.
    async fn run(mut self) {
        let control = self.calls.control.clone();
        control.begin_work(self.order.deadline);
        let mut next = Some(Input::Begin);
        while let Some(input) = next.take() {
            self.notice_absence();
            for output in self.machine.step(self.now(), input) {
                next = self.act(output).await.or(next);
            }
        }
        control.end_work();
    }

    /// A caller that went away needs no run that has not begun.
    fn notice_absence(&mut self) {
        if self.caller.as_ref().is_some_and(Sender::is_disconnected) {
            self.cancel();
        }
    }

    async fn act(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Store(op) => Some(Input::Store(self.call_store(op).await)),
            Output::AskHolder(holder) => {
                let alive = self.calls.control.is_alive(holder).await;
                Some(Input::Holder { alive })
            }
            Output::Dispatch(permit) => {
                let outcome = self.calls.dispatch(&self.order, &permit).await;
                Some(Input::Dispatch(outcome))
            }
            Output::Wait(until) => {
                let span = until.since(self.now()).saturating_add(ROUNDING);
                self.calls.timer.sleep(span).await;
                Some(Input::Tick)
            }
            Output::Answer(answer) => {
                self.tell(answer);
                None
            }
            Output::End => None,
        }
    }

    /// While the caller waits nothing was sent, so at the deadline it is told so, whatever the
    /// store is still doing; the cancel makes sure that nothing will be sent.
    async fn call_store(&mut self, op: Op) -> Outcome {
        let store = self.store.clone();
        let mut call = pin!(store.call(op));
        if self.caller.is_some() {
            let left = self.order.deadline.since(self.now());
            let wait = compio::time::timeout(left.duration(), call.as_mut());
            if let Ok(outcome) = wait.await {
                return outcome;
            }
            self.cancel();
            self.tell(Answer::NotRun(Refusal {
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

    fn tell(&mut self, answer: Answer) {
        if let Some(caller) = self.caller.take() {
            let _ = caller.send(answer);
        }
    }

    fn now(&self) -> MonoTime {
        self.calls.timer.clock().now()
    }
}
