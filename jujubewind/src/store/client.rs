//! Client of the platform's key-value service: etcd's JSON gateway and the list of VMs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use cyper::Client as HttpClient;

use super::CallKind;
use super::Cause;
use super::Error;
use super::Op;
use super::Outcome;
use super::Result;
use super::answer;
use super::request::Request;
use crate::types::Millis;
use crate::wire::platform::VmList;

/// HTTP status of a rate-limited call.
const TOO_MANY_REQUESTS: u16 = 429;

/// An HTTP client of the service; clones share connections and call counts.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    base: String,
    timeout: Millis,
    calls: Rc<RefCell<BTreeMap<CallKind, u64>>>,
}

impl Client {
    /// Creates a client of the service at `addr` with a `timeout` for each call.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be set up.
    pub fn new(addr: SocketAddr, timeout: Millis) -> Result<Self> {
        Ok(Self {
            http: HttpClient::new()?,
            base: format!("http://{addr}"),
            timeout,
            calls: Rc::default(),
        })
    }

    /// Makes one call without retries and returns what is known about its effect.
    pub async fn call(&self, op: &Op) -> Outcome {
        self.count_call(CallKind::of(op));
        let sending = self.send(op);
        match compio::time::timeout(self.timeout.duration(), sending).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(Error::Http(cause))) if is_unsent(&cause) => {
                Outcome::NotApplied(Cause::NotConnected)
            }
            Ok(Err(_)) | Err(_) => Outcome::Unknown,
        }
    }

    /// Reads the platform's list of VMs, which may be out of date.
    ///
    /// # Errors
    /// Fails if the service returns no valid list within the timeout.
    pub async fn vms(&self) -> Result<VmList> {
        self.count_call(CallKind::Vms);
        let wait = self.timeout.duration();
        match compio::time::timeout(wait, self.read_vms()).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::TimedOut),
        }
    }

    /// Number of calls made, by kind.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<CallKind, u64> {
        self.calls.borrow().clone()
    }

    /// The timeout of each call.
    pub(super) const fn timeout(&self) -> Millis {
        self.timeout
    }

    pub(super) async fn post(&self, path: &str, body: Vec<u8>) -> Result<cyper::Response> {
        let url = format!("{}{path}", self.base);
        Ok(self.http.post(url)?.body(body).send().await?)
    }

    pub(super) fn count_call(&self, kind: CallKind) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    async fn send(&self, op: &Op) -> Result<Outcome> {
        let request = Request::new(op);
        let response = self.post(request.path, request.body).await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?;
        match status {
            200 => Ok(answer::decode(op, &body)?),
            TOO_MANY_REQUESTS => Ok(Outcome::NotApplied(Cause::RateLimited)),
            400..=499 => Ok(Outcome::NotApplied(Cause::Rejected)),
            _ => Ok(Outcome::Unknown),
        }
    }

    async fn read_vms(&self) -> Result<VmList> {
        let response = self
            .http
            .get(format!("{}/v1/vms", self.base))?
            .send()
            .await?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Error::Status(status));
        }
        Ok(serde_json::from_slice(&response.bytes().await?)?)
    }
}

/// Whether the call was certainly not sent because no connection was established.
fn is_unsent(error: &cyper::Error) -> bool {
    matches!(error, cyper::Error::HyperClient(cause) if cause.is_connect())
}
