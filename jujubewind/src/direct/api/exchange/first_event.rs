//! The wait for the first event of a stream that two backend servers were asked for.

use std::cell::Cell;
use std::pin::Pin;

use futures::future::Either;
use futures::future::select;

use super::super::relay::outcome_of;
use super::super::target::Target;
use super::super::upstream_response::UpstreamResponse;
use super::AttemptError;
use super::Exchange;
use super::Result;
use super::Silence;
use super::attempt::AttemptResult;
use crate::direct::Dialect;
use crate::direct::Outcome;
use crate::direct::Retry;
use crate::direct::RouteKind;
use crate::refusal::Reason;

impl<D: Dialect> Exchange<D> {
    /// Sends the request to another backend server until one responds; a stream is read up to its
    /// first events that the caller lacks after the event `seen`, which may advance meanwhile. If
    /// that one is silent after its head, one more is asked as well.
    pub(in crate::direct::api) async fn open_begun(
        &self,
        target: &Target,
        last: Option<u64>,
        seen: &Cell<Option<u64>>,
        retry: Retry,
    ) -> Result<UpstreamResponse> {
        let mut upstream = self.open(target.clone(), last, Some(retry)).await?;
        if !is_stream(target, &upstream) {
            return Ok(upstream);
        }
        let Some(timeout) = self.response_timeout(target, &upstream.grant.placement) else {
            return self.begin(upstream, last, seen).await;
        };
        let beginning = upstream.begin(last.or(self.call.last), seen);
        match compio::time::timeout(timeout.duration(), beginning).await {
            Ok(Ok(())) => return Ok(upstream),
            Ok(Err(what)) => {
                self.fail_begun(upstream, what);
                return Err(self.failure(Reason::BackendDown));
            }
            Err(_) => {}
        }
        let server = upstream.grant.placement.primary.id.clone();
        self.log_silent(&server, timeout);
        let Some(retry) = self.take_retry(target).await else {
            self.log_kept(&"no retry left");
            return self.begin(upstream, last, seen).await;
        };
        let silence = self.keep_silent(&server);
        let other: Pin<Box<dyn Future<Output = Result<UpstreamResponse>> + '_>> =
            Box::pin(self.open_begun(target, last, seen, retry));
        let first = self.await_first_event(target, upstream, silence, other, last);
        first.await.map_err(|_| self.failure(Reason::BackendDown))
    }

    /// Reads a stream that was requested after the event `last` up to its first events that the caller
    /// lacks after the event `seen`, which may advance meanwhile.
    pub(in crate::direct::api) async fn begin(
        &self,
        mut upstream: UpstreamResponse,
        last: Option<u64>,
        seen: &Cell<Option<u64>>,
    ) -> Result<UpstreamResponse> {
        match upstream.begin(last.or(self.call.last), seen).await {
            Ok(()) => Ok(upstream),
            Err(what) => {
                self.fail_begun(upstream, what);
                Err(self.failure(Reason::BackendDown))
            }
        }
    }

    /// Returns the stream that sends an event first: `own`, whose head has arrived, or `other`.
    pub(super) async fn await_first_event(
        &self,
        target: &Target,
        mut own: UpstreamResponse,
        silence: Silence,
        mut other: impl Future<Output = Result<UpstreamResponse>> + Unpin,
        last: Option<u64>,
    ) -> AttemptResult<UpstreamResponse> {
        let last = last.or(self.call.last);
        let seen = Cell::new(last);
        let begun = Box::pin(own.begin(last, &seen));
        let first = match select(begun, &mut other).await {
            Either::Left((begun, _)) => Either::Left(begun),
            Either::Right((outcome, _)) => Either::Right(outcome),
        };
        match first {
            Either::Left(Ok(())) => Ok(own),
            Either::Left(Err(what)) => {
                let failed = self.fail_begun(own, what);
                drop(silence);
                other.await.map_err(|_| failed)
            }
            Either::Right(Ok(upstream)) if is_stream(target, &upstream) => {
                let cause = "another backend server sent an event first";
                self.fail_attempt(own.grant, "silent", cause, Outcome::Silent);
                Ok(upstream)
            }
            Either::Right(Ok(upstream)) => {
                self.log_kept(&upstream.response.status());
                Ok(own)
            }
            Either::Right(Err(failure)) => {
                self.log_kept(&failure.reason);
                Ok(own)
            }
        }
    }

    fn fail_begun(&self, upstream: UpstreamResponse, what: &'static str) -> AttemptError {
        self.fail_attempt(upstream.grant, what, "before an event", outcome_of(what))
    }
}

/// Whether a response is a stream of events.
pub(super) fn is_stream(target: &Target, upstream: &UpstreamResponse) -> bool {
    target.route.kind == RouteKind::Stream && upstream.response.status().is_success()
}
