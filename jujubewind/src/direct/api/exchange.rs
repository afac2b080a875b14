//! One request, from its placement to its response.

mod attempt;
mod demand;
mod first_event;
mod hedged_call;
mod report;
mod response;
mod retries;
mod sent_request;
mod silence;

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

use futures::future::Either;
use futures::future::select;
use hyper::http::request::Parts;

use self::first_event::is_stream;
pub use self::silence::Silence;
use self::silence::SilentServers;
use super::gateway::Gateway;
use super::gateway::OpenRequest;
use super::limits::MAX_ATTEMPTS;
use super::limits::SERVER_RETRY_AFTER;
use super::relay::Relay;
use super::target::Target;
use super::upstream_response::UpstreamResponse;
use crate::conviction::Fingerprint;
use crate::conviction::Prints;
use crate::direct::Call;
use crate::direct::Dialect;
use crate::direct::Retry;
use crate::direct::ServerId;
use crate::entry::Failure;
use crate::entry::Ran;
use crate::http::Reply;
use crate::http::WholeBody;
use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// Tells the fingerprint of a part from that of a request.
const PART_TAG: &[u8] = b"part";

/// The result of serving a request.
type Result<T> = std::result::Result<T, Failure>;

/// Why an attempt brought no response to forward.
enum AttemptError {
    /// The request has not run at that backend server.
    NotRun(Reason),
    /// The request may have run at that backend server.
    MayHaveRun,
}

/// A request with its body and the state of its attempts.
pub struct Exchange<D> {
    pub(super) gateway: Rc<Gateway<D>>,
    pub(super) call: Call,
    head: Parts,
    body: WholeBody,
    prints: Prints,
    arrived: MonoTime,
    draw: u64,
    excluded: RefCell<Vec<ServerId>>,
    /// Silent backend servers that may still answer.
    silent: SilentServers,
    /// The number of backend servers that may have run the request.
    runs: Cell<u32>,
    /// The number of retries for which something was sent.
    retries: Cell<u32>,
    /// The number of times that memory was reserved for it.
    reservations: Cell<u32>,
    /// Whether the caller has got an answer, or the end of one that was truncated.
    is_ended: Cell<bool>,
    _open_request: OpenRequest<D>,
}

impl<D> Drop for Exchange<D> {
    fn drop(&mut self) {
        if !self.is_ended.get() {
            crate::event!(
                info,
                "caller_left",
                request = self.call.id,
                runs = self.runs.get(),
                took = self.gateway.clock.now().since(self.arrived),
            );
        }
    }
}

impl<D: Dialect> Exchange<D> {
    pub(super) fn new(
        gateway: Rc<Gateway<D>>,
        open_request: OpenRequest<D>,
        arrived: MonoTime,
        call: Call,
        head: Parts,
        body: WholeBody,
    ) -> Rc<Self> {
        let caller = call.key.clone().unwrap_or_default();
        let path = head.uri.path().as_bytes();
        let parts = [head.method.as_str().as_bytes(), path, caller.as_bytes()];
        let shared = call.parts.iter();
        let shared =
            shared.map(|part| Fingerprint::of_parts(&[PART_TAG, part.as_str().as_bytes()]));
        let prints = Prints {
            request: Fingerprint::of_body(&parts, body.segments()),
            parts: shared.collect(),
        };
        Rc::new(Self {
            gateway,
            prints,
            draw: rapidhash::v3::rapidhash_v3(call.id.as_str().as_bytes()),
            call,
            head,
            body,
            arrived,
            excluded: RefCell::default(),
            silent: SilentServers::default(),
            runs: Cell::new(0),
            retries: Cell::new(0),
            reservations: Cell::new(0),
            is_ended: Cell::new(false),
            _open_request: open_request,
        })
    }

    /// Serves the request within its timeout.
    pub(super) async fn run(self: Rc<Self>) -> Result<Reply> {
        let target = self.resolve();
        let target = target.map_err(|failure| self.end_failed(failure))?;
        let left = self.left(&target);
        let serving = self.clone().serve(target);
        let serving = pin!(compio::time::timeout(left.duration(), serving));
        match select(serving, pin!(self.gateway.ended())).await {
            Either::Left((Ok(outcome), _)) => outcome.map_err(|failure| self.end_failed(failure)),
            Either::Left((Err(_), _)) => Err(self.end_failed(self.timed_out())),
            Either::Right(_) => Err(self.end_failed(self.cut_off())),
        }
    }

    /// Ends the request with a failure; turns "not run" into "unknown" if an earlier attempt may have
    /// run the request.
    fn end_failed(&self, failure: Failure) -> Failure {
        self.is_ended.set(true);
        if failure.ran == Ran::NotRun && self.runs.get() > 0 {
            return Failure::in_doubt(failure.reason);
        }
        failure
    }

    async fn serve(self: Rc<Self>, target: Target) -> Result<Reply> {
        let mut upstream = self.open(target.clone(), None, None).await?;
        loop {
            if is_stream(&target, &upstream) {
                return Ok(Relay::start(self, target, upstream));
            }
            if let Some(reply) = self.read_body(upstream).await {
                return Ok(reply);
            }
            let Some(retry) = self.take_retry(&target).await else {
                return Err(Failure::in_doubt(Reason::OutcomeUnknown));
            };
            upstream = self.open(target.clone(), None, Some(retry)).await?;
        }
    }

    /// Sends the request until a backend server responds; `last` is the last event that the caller
    /// has, `retry` pays for the first attempt if it is not the request's first.
    pub(super) async fn open(
        &self,
        mut target: Target,
        last: Option<u64>,
        mut retry: Option<Retry>,
    ) -> Result<UpstreamResponse> {
        let mut again = retry.is_some();
        for tries in 1.. {
            let job = self.job(&target, last);
            let grant = self
                .gateway
                .control
                .place(job, self.prints.clone(), again)
                .await?;
            again = true;
            if self.silent.contains(&grant.placement.primary.id) {
                return Err(self.failure(Reason::NoBackend));
            }
            let current = self.resolve()?;
            let service_changed = current.service != target.service;
            target = current;
            if service_changed {
                continue;
            }
            let error = match self.attempt(&target, grant, last, &mut retry).await? {
                Ok(upstream) => return Ok(upstream),
                Err(error) => error,
            };
            match error {
                AttemptError::MayHaveRun if !target.route.repeatable() => {
                    return Err(Failure::in_doubt(Reason::OutcomeUnknown));
                }
                AttemptError::MayHaveRun => {
                    retry = self.take_retry(&target).await;
                    if retry.is_none() {
                        return Err(Failure::in_doubt(Reason::BackendDown));
                    }
                }
                AttemptError::NotRun(reason) => {
                    let may_retry = tries < MAX_ATTEMPTS && self.may_repeat(&target);
                    if may_retry && retry.is_none() {
                        retry = self.gateway.control.take_retry(&target.service).await;
                    }
                    if !may_retry || retry.is_none() {
                        return Err(self.failure(reason));
                    }
                }
            }
        }
        Err(self.failure(Reason::BackendDown))
    }

    /// The time left until the caller's or the route's timeout, whichever is earlier.
    pub(super) fn left(&self, target: &Target) -> Millis {
        let timeout = self.call.timeout.unwrap_or(target.route.timeout);
        let deadline = self.arrived.after(timeout.min(target.route.timeout));
        deadline.since(self.gateway.clock.now())
    }

    /// The length of the prompt; zero for a call to a plain service.
    pub(super) fn prompt(&self) -> Tokens {
        let size = self.call.size.as_ref();
        size.map_or(Tokens::ZERO, |size| size.prompt)
    }

    /// Records that a server is silent but keeps the request: no attempt is made there meanwhile.
    pub(super) fn keep_silent(&self, server: &ServerId) -> Silence {
        self.exclude(server);
        self.silent.add(server)
    }

    pub(super) fn exclude(&self, server: &ServerId) {
        let mut excluded = self.excluded.borrow_mut();
        if !excluded.contains(server) {
            excluded.push(server.clone());
        }
    }

    /// The number of backend servers that may have run the request.
    pub(super) fn runs(&self) -> u32 {
        self.runs.get()
    }

    /// The end of a request that outlasts the process.
    fn cut_off(&self) -> Failure {
        if self.runs.get() == 0 {
            return Failure::not_run(Reason::Stopping, self.gateway.settings.retry);
        }
        Failure::in_doubt(Reason::OutcomeUnknown)
    }

    fn timed_out(&self) -> Failure {
        if self.runs.get() == 0 {
            return Failure::not_run(Reason::NoTime, SERVER_RETRY_AFTER);
        }
        Failure::in_doubt(Reason::DeadlinePassed)
    }

    fn failure(&self, reason: Reason) -> Failure {
        if self.runs.get() == 0 {
            return Failure::not_run(reason, SERVER_RETRY_AFTER);
        }
        Failure::in_doubt(reason)
    }
}
