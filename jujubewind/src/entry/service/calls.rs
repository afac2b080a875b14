//! The entry's calls to plain services.

use super::Claims;
use super::Order;
use super::once::Once;
use crate::claims::Answer;
use crate::claims::DispatchOutcome;
use crate::claims::SendPermit;
use crate::entry::control::Control;
use crate::entry::link::Link;
use crate::entry::request::Target;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::Error;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::timer::TimerService;
use crate::types::AttemptId;
use crate::types::Millis;

/// When to come back when no backend server took the call.
const RETRY_DOWN: Millis = Millis(1_000);
/// The most agents that one call is offered to.
const MAX_ATTEMPTS: usize = 3;

/// Makes calls to plain services; clones share connections and tasks.
#[derive(Clone)]
pub struct Calls {
    pub(super) timer: TimerService,
    pub(super) control: Control,
    link: Link,
    claims: Option<Claims>,
}

impl Calls {
    /// Makes the calls of one entry; without `claims` only those that may be repeated.
    pub fn new(timer: TimerService, link: Link, control: Control, claims: Option<Claims>) -> Self {
        Self {
            timer,
            control,
            link,
            claims,
        }
    }

    /// Makes a call that may be repeated: another backend server is tried after a failure.
    ///
    /// Once one of them may have run the call, no later refusal says that it was not run.
    pub async fn repeatable(&self, order: &Order) -> Answer {
        let mut answer = Answer::NotRun(no_backend());
        for target in self.targets(order).await {
            let attempt = AttemptId::random(&mut rand::rng());
            match self.send(order, &target, attempt).await {
                DispatchOutcome::Answered { status, body } => return Answer::Run { status, body },
                DispatchOutcome::Unknown => answer = Answer::Unknown,
                DispatchOutcome::NotRun(refusal) => {
                    if answer != Answer::Unknown {
                        answer = Answer::NotRun(refusal);
                    }
                }
            }
        }
        answer
    }

    /// Makes a call that runs at most once; the work on its claim goes on after the answer.
    pub async fn once(&self, order: Order) -> Answer {
        let Some(key) = order.call_key() else {
            return not_run(Reason::KeyRequired, Millis::ZERO);
        };
        let lease = match &self.claims {
            Some(claims) => claims.lease().await.map(|lease| (claims, lease)),
            None => None,
        };
        let Some((claims, lease)) = lease else {
            return not_run(Reason::StoreDown, RETRY_DOWN);
        };
        let once = Once::new(self.clone(), claims, lease, &key, order);
        let answer = once.start();
        answer.recv_async().await.unwrap_or(Answer::Unknown)
    }

    /// Sends a claimed call: another agent has it only after the first certainly did not run it.
    pub(super) async fn dispatch(&self, order: &Order, permit: &SendPermit) -> DispatchOutcome {
        let mut refused: Option<Refusal> = None;
        for target in self.targets(order).await {
            if let Some(refusal) = &refused {
                self.control.count_retry(refusal.reason);
            }
            match self.send(order, &target, permit.attempt()).await {
                DispatchOutcome::NotRun(refusal) => refused = Some(refusal),
                outcome => return outcome,
            }
        }
        DispatchOutcome::NotRun(refused.unwrap_or_else(no_backend))
    }

    async fn targets(&self, order: &Order) -> impl Iterator<Item = Target> + use<> {
        let targets = self.control.services(order.name.clone()).await;
        targets.into_iter().take(MAX_ATTEMPTS)
    }

    async fn send(&self, order: &Order, target: &Target, attempt: AttemptId) -> DispatchOutcome {
        let remaining = order.deadline.since(self.timer.clock().now());
        if remaining == Millis::ZERO {
            return DispatchOutcome::NotRun(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        let call = Call {
            envelope: self.link.envelope(attempt, remaining),
            service: order.name.clone(),
            method: order.method.clone(),
            key: order.key.clone(),
            body: order.body.clone(),
        };
        match self.link.call(target, call).await {
            Ok(CallReply::Answered { status, body }) => DispatchOutcome::Answered { status, body },
            Ok(CallReply::Refused(refusal)) => DispatchOutcome::NotRun(refusal),
            Ok(CallReply::Unknown) | Err(Error::NoAnswer(..)) => DispatchOutcome::Unknown,
            Err(Error::Connect(..)) => {
                DispatchOutcome::NotRun(refusal(Reason::BackendDown, RETRY_DOWN))
            }
        }
    }
}

fn no_backend() -> Refusal {
    refusal(Reason::NoBackend, RETRY_DOWN)
}

fn not_run(reason: Reason, retry: Millis) -> Answer {
    Answer::NotRun(refusal(reason, retry))
}

const fn refusal(reason: Reason, retry: Millis) -> Refusal {
    Refusal { reason, retry }
}
