//! The agent's side of a plain service's HTTP interface.

use std::net::SocketAddr;

use cyper::Client;

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::types::Millis;

/// The header that carries the caller's key.
const KEY_HEADER: &str = "idempotency-key";
/// When to come back to a service that cannot be reached.
const RETRY_DOWN: Millis = Millis(1_000);

/// Speaks to one plain service; a clone shares its connections.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: Client,
    base: String,
}

impl ServiceClient {
    /// Makes a client of the service at `addr`.
    ///
    /// # Errors
    /// The HTTP client cannot be set up.
    pub fn new(addr: SocketAddr) -> Result<Self, cyper::Error> {
        Ok(Self {
            http: Client::new()?,
            base: format!("http://{addr}"),
        })
    }

    /// Sends the call once and waits for its answer for at most the time left.
    ///
    /// A call whose time is over is not sent: a timeout of zero would still let it begin.
    pub async fn call(&self, call: &Call) -> CallReply {
        if call.envelope.remaining == Millis::ZERO {
            return CallReply::Refused(Refusal {
                reason: Reason::DeadlinePassed,
                retry: Millis::ZERO,
            });
        }
        let wait = call.envelope.remaining.duration();
        match compio::time::timeout(wait, self.send(call)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) if error_before_sending(&error) => CallReply::Refused(Refusal {
                reason: Reason::BackendDown,
                retry: RETRY_DOWN,
            }),
            Ok(Err(_)) | Err(_) => CallReply::Unknown,
        }
    }

    async fn send(&self, call: &Call) -> Result<CallReply, cyper::Error> {
        let url = format!("{}/{}", self.base, call.method);
        let mut request = self.http.post(url)?.body(call.body.clone());
        if let Some(key) = &call.key {
            request = request.header(KEY_HEADER, key)?;
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?.to_vec();
        Ok(CallReply::Answered { status, body })
    }
}

/// Whether the service cannot have seen the call: no connection ever came about.
fn error_before_sending(error: &cyper::Error) -> bool {
    matches!(error, cyper::Error::HyperClient(cause) if cause.is_connect())
}
