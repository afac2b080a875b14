//! Handler of calls to plain services.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use super::generation::effective_timeout;
use super::handler::Api;
use super::headers;
use crate::claims::Answer;
use crate::entry::Failure;
use crate::entry::Ran;
use crate::entry::control::Admission;
use crate::entry::control::Permit;
use crate::entry::service::ServiceCall;
use crate::http::Reply;
use crate::http::WholeBody;
use crate::http::json_whole;
use crate::memory::Blob;
use crate::memory::Held;
use crate::memory::Purpose;
use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::Tokens;

/// The header of a response that repeats the outcome of an earlier call with the same key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// Retry delay for callers when the outcome of a call is unknown.
const UNKNOWN_OUTCOME_DELAY: Millis = Millis(1_000);

impl Api {
    /// Serves a call to a plain service.
    pub(super) async fn service(
        &self,
        name: ModelId,
        method: String,
        headers: &HeaderMap,
        body: Held<Blob>,
    ) -> Result<Reply, Failure> {
        let bad = Failure::not_run(Reason::BadRequest, Millis::ZERO);
        let key = headers::idempotency_key(headers).map_err(|()| bad.clone())?;
        let requested = headers::timeout(headers).map_err(|()| bad)?;
        let permit = self.control.admit(Admission {
            key: headers::bearer(headers),
            name: name.clone(),
            prompt: Tokens::ZERO,
            output: Tokens::ZERO,
        });
        let permit = permit.await?;
        let service = permit.entry.service();
        let idempotent = service
            .and_then(|service| service.method(&method))
            .map(|method| method.idempotent);
        let Some(idempotent) = idempotent else {
            self.control.release(permit, Tokens::ZERO);
            return Err(Failure::not_run(Reason::UnknownRoute, Millis::ZERO));
        };
        let call = ServiceCall {
            org: permit.org.clone(),
            name,
            method,
            key,
            body,
            deadline: self
                .clock
                .now()
                .after(effective_timeout(requested, &permit.entry.limits)),
        };
        let answer = self.make_call(call, idempotent, permit).await;
        self.reply(answer)
    }

    /// Makes the call in its own task, which continues if the caller disconnects.
    async fn make_call(&self, call: ServiceCall, idempotent: bool, permit: Permit) -> Answer {
        let (tx, rx) = flume::bounded(1);
        let dispatcher = self.dispatcher.clone();
        let control = self.control.clone();
        let work = async move {
            let answer = if idempotent {
                dispatcher.call_idempotent(&call).await
            } else {
                dispatcher.call_once(call).await
            };
            control.release(permit, Tokens::ZERO);
            let _ = tx.send(answer);
        };
        compio::runtime::spawn(work).detach();
        rx.recv_async().await.unwrap_or(Answer::Unknown)
    }

    fn reply(&self, answer: Answer) -> Result<Reply, Failure> {
        match answer {
            Answer::Run { status, body } => self.answered(status, body),
            Answer::Replay { status, body } => {
                let mut reply = self.answered(status, body.unwrap_or_default())?;
                let headers = reply.headers_mut();
                headers.insert(REPLAYED, HeaderValue::from_static("true"));
                Ok(reply)
            }
            Answer::NotRun(refusal) => Err(refusal.into()),
            Answer::Unknown => Err(unknown()),
        }
    }

    /// Counts a response until the caller has read it.
    fn answered(&self, status: u16, body: Vec<u8>) -> Result<Reply, Failure> {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut charge = self.bodies.account().open(Purpose::Response);
        if !charge.resize(body.len()) {
            crate::event!(
                warn,
                "response_not_sent",
                bytes = body.len(),
                reason = "no memory"
            );
            return Err(unknown());
        }
        Ok(json_whole(status, WholeBody::counted(body, charge)))
    }
}

const fn unknown() -> Failure {
    Failure {
        reason: Reason::OutcomeUnknown,
        ran: Ran::Unknown,
        retry: UNKNOWN_OUTCOME_DELAY,
    }
}
