//! The client of the platform's service: etcd's JSON gateway, and the list of VMs.

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

/// The status of a call refused for its rate.
const TOO_MANY: u16 = 429;

/// One daemon's client; clones share connections and counts.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    base: String,
    timeout: Millis,
    calls: Rc<RefCell<BTreeMap<CallKind, u64>>>,
}

impl Client {
    /// Makes a client of the service at `addr` that waits for each answer for at most `timeout`.
    ///
    /// # Errors
    /// The HTTP client cannot be set up.
    pub fn new(addr: SocketAddr, timeout: Millis) -> Result<Self> {
        Ok(Self {
            http: HttpClient::new()?,
            base: format!("http://{addr}"),
            timeout,
            calls: Rc::default(),
        })
    }

    /// Makes one call and says what is known of it afterwards; it is never sent twice.
    pub async fn call(&self, op: &Op) -> Outcome {
        self.count(CallKind::of(op));
        let sending = self.send(op);
        match compio::time::timeout(self.timeout.duration(), sending).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(Error::Http(cause))) if is_unsent(&cause) => {
                Outcome::NotApplied(Cause::NotConnected)
            }
            Ok(Err(_)) | Err(_) => Outcome::Unknown,
        }
    }

    /// Reads the platform's list of VMs, which lags.
    ///
    /// # Errors
    /// No list came in time.
    pub async fn vms(&self) -> Result<VmList> {
        self.count(CallKind::Vms);
        let wait = self.timeout.duration();
        match compio::time::timeout(wait, self.read_vms()).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::TimedOut),
        }
    }

    /// How many calls of each kind were made.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<CallKind, u64> {
        self.calls.borrow().clone()
    }

    /// The longest wait for an answer.
    pub(super) const fn timeout(&self) -> Millis {
        self.timeout
    }

    pub(super) async fn post(&self, path: &str, body: Vec<u8>) -> Result<cyper::Response> {
        let url = format!("{}{path}", self.base);
        Ok(self.http.post(url)?.body(body).send().await?)
    }

    pub(super) fn count(&self, kind: CallKind) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    async fn send(&self, op: &Op) -> Result<Outcome> {
        let request = Request::new(op);
        let response = self.post(request.path, request.body).await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?;
        match status {
            200 => Ok(answer::read(op, &body)?),
            TOO_MANY => Ok(Outcome::NotApplied(Cause::RateLimited)),
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

/// Whether the call cannot have arrived: no connection ever came about.
fn is_unsent(error: &cyper::Error) -> bool {
    matches!(error, cyper::Error::HyperClient(cause) if cause.is_connect())
}
