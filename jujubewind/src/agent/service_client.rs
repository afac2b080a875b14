//! The client of a plain service's HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;

use cyper::Client;
use hyper::body::Bytes;
use hyper::header::CONTENT_LENGTH;

use super::CallAnswer;
use super::download::download;
use super::error::Error;
use super::error::Result;
use super::upload::upload;
use crate::http::BodyBudget;
use crate::pace::NamedLimit;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::timer::Clock;
use crate::types::Millis;

/// The header that carries the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The header in which the service names the requests a second that it takes, a decimal number.
const LIMIT_HEADER: &str = "request-limit";
/// Retry delay when the service cannot be reached.
const UNREACHABLE_RETRY_DELAY: Millis = Millis(1_000);

/// A client of one plain service; clones share its connections.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: Client,
    base: String,
    bodies: Arc<BodyBudget>,
    clock: Clock,
}

impl ServiceClient {
    /// Creates a client of the service at `addr`, whose responses are held in `bodies`.
    ///
    /// # Errors
    /// The HTTP client cannot be set up.
    pub fn new(addr: SocketAddr, bodies: Arc<BodyBudget>, clock: Clock) -> Result<Self> {
        Ok(Self {
            http: Client::new()?,
            base: format!("http://{addr}"),
            bodies,
            clock,
        })
    }

    /// Sends the call once and waits for its response for at most the remaining time.
    ///
    /// A call without remaining time is not sent, since a timeout of zero would still let it begin.
    pub async fn call(&self, call: &Call) -> CallAnswer {
        if call.envelope.remaining == Millis::ZERO {
            return CallAnswer::without_response(CallReply::Refused(Refusal {
                reason: Reason::DeadlinePassed,
                retry: Millis::ZERO,
            }));
        }
        let wait = call.envelope.remaining.duration();
        match compio::time::timeout(wait, self.send(call)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if is_connect_error(&error) => {
                CallAnswer::without_response(CallReply::Refused(Refusal {
                    reason: Reason::BackendDown,
                    retry: UNREACHABLE_RETRY_DELAY,
                }))
            }
            Ok(Err(error)) => {
                crate::event!(warn, "service_response_lost", error = error);
                CallAnswer::without_response(CallReply::Unknown)
            }
            Err(_) => CallAnswer::without_response(CallReply::Unknown),
        }
    }

    async fn send(&self, call: &Call) -> Result<CallAnswer> {
        let url = format!("{}/{}", self.base, call.method);
        let length = call.body.len();
        let body = upload(Bytes::from_owner(call.body.clone()));
        let request = self.http.post(url)?.header(CONTENT_LENGTH, length)?;
        let mut request = request.body(body);
        if let Some(key) = &call.key {
            request = request.header(KEY_HEADER, key)?;
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let limit = response.headers().get(LIMIT_HEADER);
        let limit = limit.map_or(NamedLimit::Absent, |text| {
            let rate = text.to_str().ok().and_then(|text| text.trim().parse().ok());
            rate.map_or(NamedLimit::Unreadable, NamedLimit::Rate)
        });
        let body = download(response, &self.bodies, self.clock).await?;
        let reply = CallReply::Answered { status, body };
        let limit = Some(limit);
        Ok(CallAnswer { reply, limit })
    }
}

/// Whether the service cannot have seen the call because no connection was established.
fn is_connect_error(error: &Error) -> bool {
    matches!(error, Error::Http(cyper::Error::HyperClient(cause)) if cause.is_connect())
}
