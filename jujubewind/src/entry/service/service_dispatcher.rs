//! Dispatch of calls to plain services.

use super::Claims;
use super::ServiceCall;
use super::claimed_call::ClaimedCall;
use crate::claims::Answer;
use crate::claims::DispatchOutcome;
use crate::claims::SendPermit;
use crate::entry::agent_clients::AgentClients;
use crate::entry::control::Control;
use crate::entry::request::Target;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::Error;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::timer::TimerService;
use crate::types::AttemptId;
use crate::types::Millis;

/// Retry delay for callers when the backend servers or the store are unavailable.
const UNAVAILABLE_DELAY: Millis = Millis(1_000);
/// The maximum number of agents that are tried for one call.
const MAX_ATTEMPTS: usize = 3;

/// Sends calls to plain services; clones share connections and tasks.
#[derive(Clone)]
pub struct ServiceDispatcher {
    pub(super) timer: TimerService,
    pub(super) control: Control,
    agents: AgentClients,
    claims: Option<Claims>,
}

impl ServiceDispatcher {
    /// Creates the dispatcher of an entry; without `claims` it makes only idempotent calls.
    pub fn new(
        timer: TimerService,
        agents: AgentClients,
        control: Control,
        claims: Option<Claims>,
    ) -> Self {
        Self {
            timer,
            control,
            agents,
            claims,
        }
    }

    /// Makes an idempotent call: after a failure, another backend server is tried.
    ///
    /// Once one of them may have run the call, a later refusal does not turn the outcome into
    /// "not run".
    pub async fn call_idempotent(&self, call: &ServiceCall) -> Answer {
        let mut answer = Answer::NotRun(no_backend());
        for target in self.targets(call).await {
            let attempt = AttemptId::random(&mut rand::rng());
            match self.send(call, &target, attempt).await {
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

    /// Makes a call that runs at most once; its claim may still be updated after the
    /// answer.
    pub async fn call_once(&self, call: ServiceCall) -> Answer {
        let Some(key) = call.call_key() else {
            return not_run(Reason::KeyRequired, Millis::ZERO);
        };
        let lease = match &self.claims {
            Some(claims) => claims.lease().await.map(|lease| (claims, lease)),
            None => None,
        };
        let Some((claims, lease)) = lease else {
            return not_run(Reason::StoreDown, UNAVAILABLE_DELAY);
        };
        let claimed = ClaimedCall::new(self.clone(), claims, lease, &key, call);
        let answer = claimed.start();
        answer.recv_async().await.unwrap_or(Answer::Unknown)
    }

    /// Sends a claimed call: another agent is tried only if the previous one did not run it.
    pub(super) async fn dispatch(
        &self,
        call: &ServiceCall,
        permit: &SendPermit,
    ) -> DispatchOutcome {
        let mut refused: Option<Refusal> = None;
        for target in self.targets(call).await {
            if let Some(refusal) = &refused {
                self.control.count_retry(refusal.reason);
            }
            match self.send(call, &target, permit.attempt()).await {
                DispatchOutcome::NotRun(refusal) => refused = Some(refusal),
                outcome => return outcome,
            }
        }
        DispatchOutcome::NotRun(refused.unwrap_or_else(no_backend))
    }

    async fn targets(&self, call: &ServiceCall) -> impl Iterator<Item = Target> + use<> {
        let targets = self.control.services(call.name.clone()).await;
        targets.into_iter().take(MAX_ATTEMPTS)
    }

    async fn send(
        &self,
        call: &ServiceCall,
        target: &Target,
        attempt: AttemptId,
    ) -> DispatchOutcome {
        let remaining = call.deadline.since(self.timer.clock().now());
        if remaining == Millis::ZERO {
            return DispatchOutcome::NotRun(refusal(Reason::DeadlinePassed, Millis::ZERO));
        }
        let message = Call {
            envelope: self.agents.envelope(attempt, remaining),
            service: call.name.clone(),
            method: call.method.clone(),
            key: call.key.clone(),
            body: call.body.clone(),
        };
        match self.agents.call(target, message).await {
            Ok(CallReply::Answered { status, body }) => DispatchOutcome::Answered {
                status,
                body: body.into_value().0,
            },
            Ok(CallReply::Refused(refusal)) => DispatchOutcome::NotRun(refusal),
            Ok(CallReply::Unknown) | Err(Error::NoAnswer(..)) => DispatchOutcome::Unknown,
            Err(Error::NotDelivered(_)) => DispatchOutcome::NotRun(Refusal::no_room()),
            Err(Error::Connect(..)) => {
                DispatchOutcome::NotRun(refusal(Reason::BackendDown, UNAVAILABLE_DELAY))
            }
        }
    }
}

fn no_backend() -> Refusal {
    refusal(Reason::NoBackend, UNAVAILABLE_DELAY)
}

fn not_run(reason: Reason, retry: Millis) -> Answer {
    Answer::NotRun(refusal(reason, retry))
}

const fn refusal(reason: Reason, retry: Millis) -> Refusal {
    Refusal { reason, retry }
}
