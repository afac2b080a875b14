//! Calls to plain services.

use hyper::HeaderMap;
use hyper::StatusCode;

use super::generation::time;
use super::handler::Api;
use super::headers;
use crate::entry::Failure;
use crate::entry::Ran;
use crate::entry::control::Admission;
use crate::entry::request::Target;
use crate::http::Reply;
use crate::http::plain;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::Error;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::Tokens;

/// When to come back when no backend server took the call.
const RETRY_DOWN: Millis = Millis(1_000);
/// The most attempts for one call that may be repeated.
const MAX_ATTEMPTS: usize = 3;

/// A call whose caller is known, with the end of its time.
struct Order {
    name: ModelId,
    method: String,
    key: Option<String>,
    body: Vec<u8>,
    deadline: MonoTime,
}

impl Api {
    /// Serves a call to a plain service.
    pub(super) async fn service(
        &self,
        name: ModelId,
        method: String,
        headers: &HeaderMap,
        body: Vec<u8>,
    ) -> Result<Reply, Failure> {
        let bad = Failure::not_run(Reason::BadRequest, Millis::ZERO);
        let key = headers::idempotency_key(headers).map_err(|()| bad.clone())?;
        let timeout = headers::timeout(headers).map_err(|()| bad)?;
        let permit = self.control.admit(Admission {
            key: headers::bearer(headers),
            name: name.clone(),
            prompt: Tokens::ZERO,
            output: Tokens::ZERO,
        });
        let permit = permit.await?;
        let unknown = Failure::not_run(Reason::UnknownRoute, Millis::ZERO);
        let service = permit.entry.service();
        let idempotent = service
            .and_then(|service| service.method(&method))
            .map(|method| method.idempotent);
        let deadline = self.clock.now().after(time(timeout, &permit.entry.limits));
        let order = Order {
            name,
            method,
            key,
            body,
            deadline,
        };
        let outcome = match idempotent {
            None => Err(unknown),
            Some(true) => self.repeatable(&order).await,
            Some(false) => Self::once(&order),
        };
        self.control.release(permit, Tokens::ZERO);
        outcome
    }

    /// Makes a call that may be repeated: another backend server is tried after a failure.
    async fn repeatable(&self, order: &Order) -> Result<Reply, Failure> {
        let mut failure = Failure::not_run(Reason::NoBackend, RETRY_DOWN);
        let targets = self.control.services(order.name.clone()).await;
        for target in targets.into_iter().take(MAX_ATTEMPTS) {
            match self.send(order, &target).await {
                Ok(reply) => return Ok(reply),
                Err(why) => failure = why,
            }
        }
        Err(failure)
    }

    /// Makes a call that may not be repeated.
    fn once(order: &Order) -> Result<Reply, Failure> {
        if order.key.is_none() {
            return Err(Failure::not_run(Reason::KeyRequired, Millis::ZERO));
        }
        // Without a claim in the platform's store such a call is never sent.
        Err(Failure::not_run(Reason::StoreDown, RETRY_DOWN))
    }

    async fn send(&self, order: &Order, target: &Target) -> Result<Reply, Failure> {
        let remaining = order.deadline.since(self.clock.now());
        if remaining == Millis::ZERO {
            return Err(Failure::not_run(Reason::DeadlinePassed, Millis::ZERO));
        }
        let attempt = AttemptId::random(&mut rand::rng());
        let call = Call {
            envelope: self.link.envelope(attempt, remaining),
            service: order.name.clone(),
            method: order.method.clone(),
            key: order.key.clone(),
            body: order.body.clone(),
        };
        match self.link.call(target, call).await {
            Ok(CallReply::Answered { status, body }) => Ok(answered(status, body)),
            Ok(CallReply::Refused(refusal)) => Err(refusal.into()),
            Ok(CallReply::Unknown) | Err(Error::NoAnswer(..)) => Err(unknown()),
            Err(Error::Connect(..)) => Err(Refusal {
                reason: Reason::BackendDown,
                retry: RETRY_DOWN,
            }
            .into()),
        }
    }
}

fn answered(status: u16, body: Vec<u8>) -> Reply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut reply = plain(status, body);
    let kind = hyper::header::HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    reply
}

fn unknown() -> Failure {
    Failure {
        reason: Reason::OutcomeUnknown,
        ran: Ran::Unknown,
        retry: RETRY_DOWN,
    }
}
