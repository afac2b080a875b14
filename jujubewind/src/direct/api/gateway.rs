//! The HTTP handler for callers' requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;

use super::exchange::Exchange;
use super::limits::STARTUP_POLL_INTERVAL;
use super::limits::STARTUP_RETRY_AFTER;
use super::limits::STARTUP_WAIT;
use super::refusal_sampler::RefusalSampler;
use crate::direct::BootTime;
use crate::direct::Call;
use crate::direct::Control;
use crate::direct::Dialect;
use crate::direct::EntryState;
use crate::direct::Message;
use crate::direct::Notice;
use crate::direct::Pool;
use crate::direct::ReservationLimits;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::direct::Shared as SharedState;
use crate::entry::Failure;
use crate::http;
use crate::http::BodyBudget;
use crate::http::Handler;
use crate::http::Phase;
use crate::http::ReadLimit;
use crate::http::Reply;
use crate::http::WholeBody;
use crate::metrics::DirectMetrics;
use crate::refusal::Reason;
use crate::timer::Clock;
use crate::types::Bytes;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::RegionId;
use crate::types::Revision;
use crate::types::Tokens;

/// Settings of the gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The `Retry-After` of requests that are refused during shutdown.
    pub retry: Millis,
    /// Time limits of memory that is reserved for prompts on several engines.
    pub reservations: ReservationLimits,
    /// The region of each failure domain.
    pub regions: BTreeMap<DomainId, RegionId>,
    /// What the bodies of requests, and of responses that are held until they are whole, may take
    /// together.
    pub bodies: Bytes,
}

/// The state that all requests share.
#[derive(Debug)]
pub struct Gateway<D> {
    pub(super) dialect: D,
    pub(super) control: Control,
    pub(super) state: Rc<EntryState>,
    pub(super) pool: Rc<Pool>,
    pub(super) clock: Clock,
    pub(super) settings: GatewaySettings,
    pub(super) metrics: Rc<DirectMetrics>,
    pub(super) bodies: Arc<BodyBudget>,
    sampler: RefusalSampler,
    refusing: Cell<bool>,
    /// Ends the open requests when it is dropped.
    end: RefCell<Option<oneshot::Sender<()>>>,
    ended: Shared<oneshot::Receiver<()>>,
    open: Cell<usize>,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest<D>(Rc<Gateway<D>>);

impl<D> OpenRequest<D> {
    fn new(gateway: Rc<Gateway<D>>) -> Self {
        gateway.open.set(gateway.open.get() + 1);
        Self(gateway)
    }
}

impl<D> Drop for OpenRequest<D> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl<D: Dialect> Gateway<D> {
    /// Creates a handler that gets its placements from `control`.
    #[must_use]
    pub fn new(
        dialect: D,
        control: Control,
        shared: SharedState,
        clock: Clock,
        settings: GatewaySettings,
    ) -> Self {
        let (end, ended) = oneshot::channel();
        Self {
            dialect,
            control,
            state: shared.state,
            pool: shared.pool,
            metrics: shared.metrics,
            clock,
            bodies: BodyBudget::new(settings.bodies),
            settings,
            sampler: RefusalSampler::default(),
            refusing: Cell::new(false),
            end: RefCell::new(Some(end)),
            ended: ended.shared(),
            open: Cell::new(0),
        }
    }

    /// Refuses new requests from now on.
    pub fn refuse(&self) {
        self.refusing.set(true);
    }

    /// Answers the open requests whose response has not begun, as the process is about to exit.
    pub fn end(&self) {
        drop(self.end.take());
    }

    /// Completes once open requests are to be ended.
    pub(super) async fn ended(&self) {
        let _ = self.ended.clone().await;
    }

    /// The bytes of bodies that are held.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        self.bodies.used()
    }

    /// The number of open requests.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Counts and logs a request that ends without a backend server's response.
    fn log_failure(&self, arrived: MonoTime, call: Option<&Call>, failure: &Failure) {
        let now = self.clock.now();
        self.metrics.count_failure(failure.reason);
        let (is_logged, suppressed) = self.sampler.count(now, failure.reason);
        if suppressed > 0 {
            let reason = failure.reason;
            crate::event!(info, "requests_failed", reason = reason, count = suppressed);
        }
        if !is_logged {
            return;
        }
        crate::event!(
            info,
            "request_failed",
            request = call.map_or("unreadable", |call| call.id.as_str()),
            prompt = prompt(call).get(),
            reason = failure.reason,
            ran = failure.ran,
            retry = failure.retry,
            table = self
                .state
                .table()
                .map_or(Revision::ZERO, |table| table.version),
            proof = self.state.table_age(BootTime::now()).unwrap_or_default(),
            took = now.since(arrived),
        );
    }

    /// Passes on what a backend server announces of itself in a response; `sent` is when the request
    /// was sent that the response is surely to.
    pub(super) fn note(&self, server: &Rc<Server>, notice: Notice, sent: Option<MonoTime>) {
        let is_limited = self.state.notices().limit(server).is_some();
        if notice != Notice::default() || is_limited {
            let server = server.clone();
            self.control.send(Message::Notice {
                server,
                notice,
                sent,
            });
        }
    }

    /// Whether the server has asked this entry for a pause that has not ended.
    pub(super) fn is_paused(&self, server: &Server) -> bool {
        let pause = self.state.notices().pause(self.clock.now(), &server.id);
        pause > Millis::ZERO
    }

    /// Whether a backend server left the list or restarted after `since`.
    pub(super) fn has_departed(&self, since: BootTime, server: &ServerId) -> bool {
        self.state.has_departed(BootTime::now(), since, server)
    }

    pub(super) async fn sleep(&self, delay: Millis) {
        compio::time::sleep(delay.duration()).await;
    }

    /// Waits until an entry that has just started has read its configuration, which takes a few
    /// round trips.
    async fn wait_until_configured(&self) {
        let started = self.clock.now();
        while !self.state.is_loaded(BootTime::now())
            && self.clock.now().since(started) < STARTUP_WAIT
        {
            self.sleep(STARTUP_POLL_INTERVAL).await;
        }
    }

    /// Reads the body, even of a request that is refused: a caller that is still sending when its
    /// connection is closed may not get the reply.
    async fn read_body(&self, body: Incoming) -> http::Result<WholeBody> {
        let limits = self.state.table().map(|table| table.limits.clone());
        let limits = limits.unwrap_or_default();
        http::read_body(body, limits.body, limits.arrival, &self.bodies, self.clock).await
    }

    async fn serve(
        self: &Rc<Self>,
        arrived: MonoTime,
        call: Result<&Call, Failure>,
        parts: Parts,
        body: Incoming,
    ) -> Result<Reply, Failure> {
        if !self.refusing.get() {
            self.wait_until_configured().await;
        }
        let phase = parts.extensions.get::<Phase>();
        phase.inspect(|phase| phase.wait());
        let body = self.read_body(body).await;
        phase.inspect(|phase| phase.serve());
        let call = call?;
        if self.refusing.get() {
            return Err(Failure::not_run(Reason::Stopping, self.settings.retry));
        }
        if self.state.table().is_none() {
            return Err(Failure::not_run(Reason::NoCatalogue, STARTUP_RETRY_AFTER));
        }
        let body = body.map_err(|error| body_failure(&error))?;
        let open_request = OpenRequest::new(self.clone());
        let exchange = Exchange::new(
            self.clone(),
            open_request,
            arrived,
            call.clone(),
            parts,
            body,
        );
        exchange.run().await
    }
}

impl<D: Dialect> Handler for Gateway<D> {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let arrived = self.clock.now();
        let (parts, body) = request.into_parts();
        let call = self.dialect.parse_request(&parts);
        let readable = call.as_ref().map_err(Clone::clone);
        let outcome = self.serve(arrived, readable, parts, body).await;
        let mut reply = outcome.unwrap_or_else(|failure| {
            let call = call.as_ref().ok();
            self.log_failure(arrived, call, &failure);
            self.dialect.failure_reply(call, &failure)
        });
        if reply.extensions().get::<ReadLimit>().is_none() {
            reply.extensions_mut().insert(ReadLimit::REPLY);
        }
        if self.state.is_stopping() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        reply
    }
}

/// The length of the prompt; zero if there is none.
fn prompt(call: Option<&Call>) -> Tokens {
    let size = call.and_then(|call| call.size.as_ref());
    size.map_or(Tokens::ZERO, |size| size.prompt)
}

fn body_failure(error: &http::Error) -> Failure {
    let reason = match error {
        http::Error::TooLarge(_) => Reason::BodyTooLarge,
        http::Error::TooSlow(_) => Reason::BodyTooSlow,
        http::Error::Interrupted(_) => Reason::BadRequest,
        http::Error::NoRoom => return Failure::no_room(),
    };
    Failure::not_run(reason, Millis::ZERO)
}
