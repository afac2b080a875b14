//! The wait for a response, beside other backend servers if the first one is silent.

use std::cell::Cell;

use futures::future::Either;
use futures::future::select;

use super::super::limits::ABSENCE_CHECK_PERIOD;
use super::super::limits::FIRST_EVENT_PERMILLE;
use super::super::limits::MIN_RESPONSE_TIMEOUT;
use super::super::target::Target;
use super::super::upstream_response::UpstreamResponse;
use super::AttemptError;
use super::Exchange;
use super::attempt::AttemptResult;
use super::first_event::is_stream;
use super::sent_request::SentHead;
use super::sent_request::SentRequest;
use crate::direct::BootTime;
use crate::direct::Dialect;
use crate::direct::Grant;
use crate::direct::Outcome;
use crate::direct::Placement;
use crate::direct::Retry;
use crate::direct::RouteKind;
use crate::direct::SendFault;
use crate::refusal::Reason;
use crate::types::Millis;

impl<D: Dialect> Exchange<D> {
    /// Waits for the head of the response. A silent backend server keeps the request until another
    /// one has responded: it may be about to go on, and the other one may refuse.
    pub(super) async fn await_response(
        &self,
        target: &Target,
        mut sent: SentRequest,
        last: Option<u64>,
    ) -> AttemptResult<UpstreamResponse> {
        if let Some(timeout) = self.response_timeout(target, &sent.grant.placement) {
            if let Some(head) = self.expect_head(&mut sent, timeout).await {
                return self.accept_head(target, sent.grant, head);
            }
            self.log_silent(&sent.grant.placement.primary.id, timeout);
            if let Some(retry) = self.take_retry(target).await {
                return if target.route.kind == RouteKind::Stream {
                    self.await_first(target, sent, last, retry).await
                } else {
                    self.hedge(target, sent, last, retry).await
                };
            }
            self.log_kept(&"no retry left");
        }
        let head = sent.head().await;
        self.accept_head(target, sent.grant, head)
    }

    /// Waits for the head of the response until the server was silent for `timeout` or has left; `None`
    /// if none arrived.
    async fn expect_head(
        &self,
        sent: &mut SentRequest,
        timeout: Millis,
    ) -> Option<Option<SentHead>> {
        let (began, clock) = (BootTime::now(), &self.gateway.clock);
        let until = clock.now().after(timeout);
        let server = sent.grant.placement.primary.id.clone();
        loop {
            let wait = until.since(clock.now()).min(ABSENCE_CHECK_PERIOD);
            let head = compio::time::timeout(wait.duration(), sent.head()).await;
            if let Ok(head) = head {
                return Some(head);
            }
            if clock.now() >= until || self.gateway.has_departed(began, &server) {
                return None;
            }
        }
    }

    /// Sends a stream's request to another backend server as well and returns the response that
    /// begins first; a stream begins with its first event.
    async fn await_first(
        &self,
        target: &Target,
        mut sent: SentRequest,
        last: Option<u64>,
        retry: Retry,
    ) -> AttemptResult<UpstreamResponse> {
        let silence = self.keep_silent(&sent.grant.placement.primary.id);
        let seen = Cell::new(last.or(self.call.last));
        let mut other = Box::pin(self.open_begun(target, last, &seen, retry));
        let first = match select(Box::pin(sent.head()), other.as_mut()).await {
            Either::Left((head, _)) => Either::Left(head),
            Either::Right((outcome, _)) => Either::Right(outcome),
        };
        match first {
            Either::Left(head) => {
                let own = self.accept_head(target, sent.grant, head);
                if own.as_ref().is_ok_and(|own| is_stream(target, own)) {
                    let first = self.await_first_event(target, own?, silence, other, last);
                    return first.await;
                }
                drop(silence);
                if own.as_ref().is_ok_and(is_useful) {
                    return own;
                }
                match other.await {
                    Ok(upstream) if own.is_err() || is_useful(&upstream) => Ok(upstream),
                    _ => own,
                }
            }
            Either::Right(Ok(upstream)) if !is_useful(&upstream) => {
                let head = sent.head().await;
                let own = self.accept_head(target, sent.grant, head);
                if own.as_ref().is_ok_and(is_useful) {
                    return own;
                }
                Ok(upstream)
            }
            Either::Right(Ok(upstream)) => {
                let cause = "another backend server responded first";
                self.fail_attempt(sent.grant, "silent", cause, Outcome::Silent);
                Ok(upstream)
            }
            Either::Right(Err(failure)) => {
                self.log_kept(&failure.reason);
                let head = sent.head().await;
                self.accept_head(target, sent.grant, head)
            }
        }
    }

    /// Turns what a backend server sent first into a response that may be forwarded.
    pub(super) fn accept_head(
        &self,
        target: &Target,
        grant: Grant,
        head: Option<SentHead>,
    ) -> AttemptResult<UpstreamResponse> {
        let Some((connection, response)) = head else {
            let cause = "reserved memory was lost or not used in time";
            return Err(self.fail_attempt(grant, "memory_lost", cause, Outcome::Abandoned));
        };
        match response {
            Ok(response) => {
                let bodies = self.gateway.bodies.clone();
                let clock = self.gateway.clock;
                let upstream = UpstreamResponse::new(response, grant, connection, bodies, clock);
                self.check_response(target, upstream)
            }
            Err(SendFault::Unsent(cause)) => {
                self.runs.set(self.runs.get() - 1);
                self.log_attempt_failure(&grant.placement, "unsent", &cause);
                Err(AttemptError::NotRun(Reason::BackendDown))
            }
            Err(fault) if fault.is_malformed() => {
                Err(self.fail_attempt(grant, "malformed", fault, Outcome::Malformed))
            }
            Err(fault) => Err(self.fail_attempt(grant, "broken", fault, Outcome::Broken)),
        }
    }

    /// How long to wait for the head of a response before another backend server is asked as well.
    pub(super) fn response_timeout(
        &self,
        target: &Target,
        placement: &Placement,
    ) -> Option<Millis> {
        if !target.route.repeatable() || !self.has_attempts_left(target) {
            return None;
        }
        if target.route.kind == RouteKind::Stream {
            let predicted = placement.first_token.millis();
            let client_timeout = target.route.client_timeout.get();
            let slack = Millis(client_timeout * FIRST_EVENT_PERMILLE / 1_000);
            return Some(predicted.saturating_add(predicted).saturating_add(slack));
        }
        let latency_target = target.route.latency_target;
        Some(Millis(latency_target.get() + latency_target.get() / 2).max(MIN_RESPONSE_TIMEOUT))
    }
}

/// Whether a response is better than waiting for that of another backend server.
pub(super) fn is_useful(upstream: &UpstreamResponse) -> bool {
    !upstream.response.status().is_server_error()
}
