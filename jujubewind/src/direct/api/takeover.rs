//! Another backend server takes a stream over from one that is silent.

use std::cell::Cell;
use std::future;
use std::pin::Pin;
use std::rc::Rc;

use futures::future::select_all;

use super::exchange::Exchange;
use super::exchange::Silence;
use super::handover::TakeoverFailure;
use super::target::Target;
use super::upstream_response::UpstreamResponse;
use crate::direct::Dialect;
use crate::direct::Retry;
use crate::direct::ServerId;
use crate::refusal::Reason;
use crate::types::MonoTime;

/// What became of a request to take a stream over.
pub(super) enum Progress {
    /// The head of the response has arrived.
    Responded(UpstreamResponse),
    /// The response was read up to its first events that the caller lacks.
    Began(UpstreamResponse),
    /// There is no response.
    Failed(TakeoverFailure),
    /// The response failed before an event.
    Broken,
}

/// A request to another backend server for the rest of a stream; dropping it closes the connection.
pub(super) struct Takeover {
    next: Pin<Box<dyn Future<Output = Progress>>>,
    /// The event after which the stream was requested.
    last: Option<u64>,
    /// The server that has responded, and when.
    responded: Option<(ServerId, MonoTime)>,
    /// Keeps the request from being sent again to the server while it is silent.
    silence: Option<Silence>,
}

impl Takeover {
    /// Sends the rest of a stream after the event `last` to another backend server.
    pub(super) fn ask<D: Dialect>(
        exchange: Rc<Exchange<D>>,
        target: Target,
        last: Option<u64>,
        retry: Retry,
    ) -> Self {
        let opening = async move {
            let (runs, retries) = (exchange.runs(), exchange.retries());
            let mut is_final = false;
            let left = exchange.left(&target).duration();
            let opening = exchange.open(target, last, Some(retry));
            match compio::time::timeout(left, opening).await {
                Ok(Ok(upstream)) if upstream.response.status().is_success() => {
                    return Progress::Responded(upstream);
                }
                Ok(Ok(upstream)) => exchange.log_kept(&upstream.response.status()),
                Ok(Err(failure)) => {
                    exchange.log_kept(&failure.reason);
                    is_final = is_lasting(failure.reason);
                }
                Err(_) => exchange.log_kept(&"no response in time"),
            }
            let failure = if exchange.runs() > runs {
                TakeoverFailure::MayHaveRun
            } else if exchange.retries() > retries || is_final {
                TakeoverFailure::Rejected
            } else {
                TakeoverFailure::Unsent
            };
            Progress::Failed(failure)
        };
        Self {
            next: Box::pin(opening),
            last,
            responded: None,
            silence: None,
        }
    }

    /// Waits for the first event of the response after `seen`, the last event that the caller has,
    /// which may advance meanwhile.
    pub(super) fn await_event<D: Dialect>(
        &mut self,
        exchange: Rc<Exchange<D>>,
        target: &Target,
        upstream: UpstreamResponse,
        seen: Rc<Cell<Option<u64>>>,
    ) {
        let server = upstream.grant.placement.primary.id.clone();
        self.responded = Some((server, exchange.gateway.clock.now()));
        let left = exchange.left(target).duration();
        let last = self.last;
        self.next = Box::pin(async move {
            let beginning = exchange.begin(upstream, last, &seen);
            match compio::time::timeout(left, beginning).await {
                Ok(Ok(upstream)) => return Progress::Began(upstream),
                Ok(Err(failure)) => exchange.log_kept(&failure.reason),
                Err(_) => exchange.log_kept(&"no event in time"),
            }
            Progress::Broken
        });
    }

    /// Records that the server is silent, if it has responded, so that one more may be asked.
    pub(super) fn keep_silent<D: Dialect>(&mut self, exchange: &Exchange<D>) {
        if let (Some((server, since)), None) = (&self.responded, &self.silence) {
            let quiet = exchange.gateway.clock.now().since(*since);
            exchange.log_silent(server, quiet);
            self.silence = Some(exchange.keep_silent(server));
        }
    }
}

/// Waits until one of `others` makes progress; returns its index.
pub(super) async fn next_progress(others: &mut [Takeover]) -> (usize, Progress) {
    if others.is_empty() {
        return future::pending().await;
    }
    let next = others.iter_mut().map(|other| other.next.as_mut());
    let (progress, index, _) = select_all(next).await;
    (index, progress)
}

/// Whether a request that was refused for `reason` would be refused later as well.
const fn is_lasting(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Convicted
            | Reason::PromptTooLong
            | Reason::UnknownRoute
            | Reason::Unauthorized
            | Reason::OutcomeUnknown
    )
}
