//! One request from its placement to its answer.

mod attempt;
mod demand;
mod report;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use hyper::body::Bytes;
use hyper::http::request::Parts;

use super::gateway::Gateway;
use super::gateway::InHand;
use super::limits::LEAST_LEFT;
use super::limits::RETRY_SERVER;
use super::limits::TRIES;
use super::opened::Opened;
use super::relay::Relay;
use super::target::Target;
use crate::conviction::Fingerprint;
use crate::direct::Call;
use crate::direct::Dialect;
use crate::direct::RouteKind;
use crate::direct::ServerId;
use crate::entry::Failure;
use crate::entry::Ran;
use crate::http::Reply;
use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// A result of serving a request.
type Result<T> = std::result::Result<T, Failure>;

/// Why a try brought no answer, and whether another may.
enum Miss {
    /// The request has not run there.
    NotRun(Reason),
    /// It may have run there.
    Doubt,
}

/// A request with its body, and what became of it so far.
pub struct Exchange<D> {
    pub(super) gateway: Rc<Gateway<D>>,
    pub(super) call: Call,
    head: Parts,
    body: Bytes,
    print: Fingerprint,
    arrived: MonoTime,
    draw: u64,
    tried: RefCell<Vec<ServerId>>,
    /// Backend servers that may have run it.
    runs: Cell<u32>,
    _hand: InHand<D>,
}

impl<D: Dialect> Exchange<D> {
    pub(super) fn new(
        gateway: Rc<Gateway<D>>,
        hand: InHand<D>,
        arrived: MonoTime,
        call: Call,
        head: Parts,
        body: Bytes,
    ) -> Rc<Self> {
        let caller = call.key.clone().unwrap_or_default();
        let path = head.uri.path().as_bytes();
        let parts = [
            head.method.as_str().as_bytes(),
            path,
            caller.as_bytes(),
            &body,
        ];
        let print = Fingerprint::of_parts(&parts);
        Rc::new(Self {
            gateway,
            print,
            draw: rapidhash::v3::rapidhash_v3(call.id.as_str().as_bytes()),
            call,
            head,
            body,
            arrived,
            tried: RefCell::default(),
            runs: Cell::new(0),
            _hand: hand,
        })
    }

    /// Serves the request within its time.
    pub(super) async fn run(self: Rc<Self>) -> Result<Reply> {
        let target = self.resolve()?;
        let left = self.left(&target);
        let serving = self.clone().serve(target);
        match compio::time::timeout(left.duration(), serving).await {
            Ok(outcome) => outcome.map_err(|failure| self.honest(failure)),
            Err(_) => Err(self.timed_out()),
        }
    }

    /// What refuses a request that was sent before cannot say that it did not run.
    fn honest(&self, failure: Failure) -> Failure {
        if failure.ran == Ran::NotRun && self.runs.get() > 0 {
            return Failure::in_doubt(failure.reason);
        }
        failure
    }

    async fn serve(self: Rc<Self>, target: Target) -> Result<Reply> {
        let stream = target.route.kind == RouteKind::Stream;
        let mut opened = self.open(target.clone(), None, false).await?;
        loop {
            if stream && opened.response.status().is_success() {
                return Ok(Relay::start(self, target, opened));
            }
            match self.whole(opened).await {
                Some(reply) => return Ok(reply),
                None if self.may_repeat(&target).await => {
                    opened = self.open(target.clone(), None, true).await?;
                }
                None => return Err(Failure::in_doubt(Reason::OutcomeUnknown)),
            }
        }
    }

    /// Finds a backend server that answers; `last` is the last event that the caller has.
    pub(super) async fn open(
        &self,
        mut target: Target,
        last: Option<u64>,
        mut again: bool,
    ) -> Result<Opened> {
        for tries in 1.. {
            let job = self.job(&target, last);
            let grant = self.gateway.control.ask(job, self.print, again).await?;
            again = true;
            let now = self.resolve()?;
            let moved = now.service != target.service;
            target = now;
            if moved {
                continue;
            }
            let miss = match self.attempt(&target, grant, last).await? {
                Ok(opened) => return Ok(opened),
                Err(miss) => miss,
            };
            match miss {
                Miss::Doubt if !target.route.repeatable() => {
                    return Err(Failure::in_doubt(Reason::OutcomeUnknown));
                }
                Miss::Doubt if self.may_repeat(&target).await => {}
                Miss::Doubt => return Err(Failure::in_doubt(Reason::BackendDown)),
                Miss::NotRun(reason) => {
                    let budget =
                        tries < TRIES && self.gateway.control.repeat(&target.service).await;
                    if !budget || self.left(&target) < LEAST_LEFT {
                        return Err(self.unserved(reason));
                    }
                }
            }
        }
        Err(self.unserved(Reason::BackendDown))
    }

    /// The time that is left of the caller's and the route's.
    pub(super) fn left(&self, target: &Target) -> Millis {
        let time = self.call.time.unwrap_or(target.route.timeout);
        let ends = self.arrived.after(time.min(target.route.timeout));
        ends.since(self.gateway.clock.now())
    }

    /// Whether the request may be sent once more, of which the service's budget is told.
    pub(super) async fn may_repeat(&self, target: &Target) -> bool {
        target.route.repeatable()
            && self.has_runs(target)
            && self.left(target) >= LEAST_LEFT
            && self.gateway.control.repeat(&target.service).await
    }

    /// The prompt's length; zero for a call to a plain service.
    pub(super) fn prompt(&self) -> Tokens {
        let size = self.call.size.as_ref();
        size.map_or(Tokens::ZERO, |size| size.prompt)
    }

    pub(super) fn avoid(&self, server: &ServerId) {
        self.tried.borrow_mut().push(server.clone());
    }

    fn has_runs(&self, target: &Target) -> bool {
        self.runs.get() < target.route.attempts.max(1)
    }

    fn timed_out(&self) -> Failure {
        if self.runs.get() == 0 {
            return Failure::not_run(Reason::NoTime, RETRY_SERVER);
        }
        Failure::in_doubt(Reason::DeadlinePassed)
    }

    fn unserved(&self, reason: Reason) -> Failure {
        if self.runs.get() == 0 {
            return Failure::not_run(reason, RETRY_SERVER);
        }
        Failure::in_doubt(reason)
    }
}
