//! One attempt of a request at one backend server.

use std::fmt::Display;
use std::rc::Rc;

use hyper::StatusCode;

use super::super::hop::end_to_end;
use super::super::limits::RESERVATION_RETRY_DELAY;
use super::super::relay::outcome_of;
use super::super::reservations::Reservations;
use super::super::target::Target;
use super::super::upstream_response::UpstreamResponse;
use super::AttemptError;
use super::Exchange;
use super::Result;
use super::sent_request::SentRequest;
use crate::direct::Connection;
use crate::direct::Dialect;
use crate::direct::Domains;
use crate::direct::Grant;
use crate::direct::Message;
use crate::direct::Outcome;
use crate::direct::Placement;
use crate::direct::Purpose;
use crate::direct::Retry;
use crate::direct::Server;
use crate::entry::Failure;
use crate::http;
use crate::http::Reply;
use crate::pace::NamedLimit;
use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::Tokens;

/// The result of an attempt.
pub(super) type AttemptResult<T> = std::result::Result<T, AttemptError>;

impl<D: Dialect> Exchange<D> {
    /// Sends the request to one backend server and waits for the head of its response. The outer
    /// error ends the request, the inner one the attempt.
    pub(super) async fn attempt(
        &self,
        target: &Target,
        grant: Grant,
        last: Option<u64>,
        retry: &mut Option<Retry>,
    ) -> Result<AttemptResult<UpstreamResponse>> {
        self.log_placement(target, &grant.placement);
        let grant = match self.reserve_memory(grant, retry).await {
            Ok(grant) => grant,
            Err(error) => return Ok(Err(error)),
        };
        let (grant, connection) = match self.connect(target, grant).await {
            Ok(connected) => connected,
            Err(error) => return Ok(Err(error)),
        };
        // Since the request was placed its key may have been revoked, its route may no longer allow a
        // second run, and a server may have asked for no requests or its domain been evacuated.
        let target = self.resolve()?;
        if self.runs() > 0 && !target.route.repeatable() {
            connection.give_back();
            return Err(Failure::in_doubt(Reason::OutcomeUnknown));
        }
        if !self.may_send(&target, &grant.placement) {
            let cause = "the backend server takes no requests now";
            self.fail_attempt(grant, "unsent", cause, Outcome::Refused);
            connection.give_back();
            return Ok(Err(AttemptError::NotRun(Reason::Leaving)));
        }
        self.spend(retry);
        let sent = self.send(&target, grant, connection, last);
        Ok(self.await_response(&target, sent, last).await)
    }

    /// Whether all servers of a placement still take the request.
    fn may_send(&self, target: &Target, placement: &Placement) -> bool {
        let notices = self.gateway.state.notices();
        let domains = self.domains(target);
        let is_permitted = |server: &Server| {
            let permits = |domains: &Domains| domains.contains(&server.domain);
            !notices.is_evacuated(server) && domains.as_ref().is_none_or(permits)
        };
        let mut helpers = placement.helpers.iter();
        notices.allow(self.gateway.clock.now(), &placement.primary)
            && is_permitted(&placement.primary)
            && helpers.all(|helper| is_permitted(&helper.server))
    }

    /// Reserves memory at the helpers that keep a part of the prompt.
    async fn reserve_memory(
        &self,
        mut grant: Grant,
        retry: &mut Option<Retry>,
    ) -> AttemptResult<Grant> {
        let helpers = &grant.placement.helpers;
        if helpers.iter().all(|helper| helper.memory == Tokens::ZERO) {
            return Ok(grant);
        }
        self.spend(retry);
        // An order of an earlier try may still be carried out, so each try has names of its own.
        let tries = self.reservations.get() + 1;
        self.reservations.set(tries);
        let name = format!("{}x{tries}", self.call.id);
        let Some(reservations) = Reservations::take(&self.gateway, &name, &grant.placement).await
        else {
            let cause = "an engine refused to reserve memory";
            self.log_attempt_failure(&grant.placement, "no_memory", cause);
            drop(grant);
            self.gateway.sleep(RESERVATION_RETRY_DELAY).await;
            return Err(AttemptError::NotRun(Reason::NoMemory));
        };
        grant.attach(reservations);
        Ok(grant)
    }

    async fn connect(&self, target: &Target, grant: Grant) -> AttemptResult<(Grant, Connection)> {
        let purpose = if target.route.repeatable() {
            Purpose::Request
        } else {
            Purpose::SingleRun
        };
        let primary = &grant.placement.primary;
        match self.gateway.pool.connect(primary, purpose).await {
            Ok(connection) => Ok((grant, connection)),
            Err(fault) => {
                self.fail_attempt(grant, "unreachable", fault, Outcome::Unreachable);
                Err(AttemptError::NotRun(Reason::BackendDown))
            }
        }
    }

    /// Sends the request; from here on it may have run.
    fn send(
        &self,
        target: &Target,
        grant: Grant,
        mut connection: Connection,
        last: Option<u64>,
    ) -> SentRequest {
        let request = self.request(target, &grant, last);
        grant.mark_sent(self.gateway.clock.now());
        self.runs.set(self.runs.get() + 1);
        let patience = self.patience(target);
        let response = async move {
            let response = connection.send(request, patience).await;
            (connection, response)
        };
        SentRequest {
            grant,
            response: Box::pin(response),
        }
    }

    /// How long the server of an attempt that was just sent may acknowledge nothing: the last attempt
    /// ends with the caller's time only, any other may be repeated elsewhere.
    fn patience(&self, target: &Target) -> Millis {
        if target.route.repeatable() && self.has_attempts_left(target) {
            return Millis::ZERO;
        }
        self.left(target)
    }

    /// Checks whether a response may be forwarded to the caller.
    pub(super) fn check_response(
        &self,
        target: &Target,
        upstream: UpstreamResponse,
    ) -> AttemptResult<UpstreamResponse> {
        let status = upstream.response.status();
        let headers = upstream.response.headers();
        let server = &upstream.grant.placement.primary;
        let head = self.gateway.dialect.parse_response(status, headers);
        let mut notice = self.gateway.dialect.parse_notice(status, headers);
        let is_crossed = head.id.as_ref().is_some_and(|id| *id != self.call.id);
        if is_crossed {
            // The response to an earlier request tells nothing of the server's present limit.
            notice.limit = NamedLimit::Absent;
        }
        let is_own = head.id.is_some() && !is_crossed;
        let sent = upstream.grant.sent().filter(|_| is_own);
        self.gateway.note(server, notice, sent);
        if is_crossed {
            return Err(self.fail_attempt(upstream.grant, "crossed", status, Outcome::Faulty));
        }
        // Without its id, a copy of an earlier refusal could pass for one of this request.
        if head.refused && is_own {
            self.runs.set(self.runs.get() - 1);
            self.end_refused(upstream.grant, head.culprit.as_deref(), status);
            return Err(AttemptError::NotRun(Reason::QueueFull));
        }
        // A response that does not name the request may be a late copy of another one.
        let is_valid = is_own && is_final(status) && (head.sealed || !status.is_success());
        if !is_valid || claims_not_run(status) {
            return Err(self.fail_attempt(upstream.grant, "faulty", status, Outcome::Faulty));
        }
        let may_repeat = target.route.repeatable() && self.has_attempts_left(target);
        if status.is_server_error() && may_repeat {
            return Err(self.fail_attempt(upstream.grant, "failed", status, Outcome::Faulty));
        }
        Ok(upstream)
    }

    /// Ends a refused grant and excludes the server that caused the refusal, which may be a helper.
    fn end_refused(&self, grant: Grant, culprit: Option<&str>, status: StatusCode) {
        let servers = grant.placement.helpers.iter().map(|helper| &helper.server);
        let is_culprit = |server: &&Rc<Server>| {
            culprit
                .is_some_and(|name| name == server.id.as_str() || name == server.addr.to_string())
        };
        let Some(helper) = servers.clone().find(is_culprit).cloned() else {
            self.fail_attempt(grant, "refused", status, Outcome::Refused);
            return;
        };
        let cause = format!("caused by helper {}", helper.id);
        self.log_attempt_failure(&grant.placement, "refused", cause);
        self.exclude(&helper.id);
        self.gateway
            .control
            .send(Message::HelperFailed(helper.id.clone()));
        grant.finish(Outcome::Refused);
    }

    /// Ends the grant of a failed attempt and excludes its server from further attempts of the
    /// request.
    pub(super) fn fail_attempt(
        &self,
        grant: Grant,
        what: &str,
        cause: impl Display,
        outcome: Outcome,
    ) -> AttemptError {
        self.log_attempt_failure(&grant.placement, what, cause);
        self.exclude(&grant.placement.primary.id);
        grant.finish(outcome);
        AttemptError::MayHaveRun
    }

    /// Reads the whole response; `None` if the connection broke.
    pub(super) async fn read_body(&self, mut upstream: UpstreamResponse) -> Option<Reply> {
        if let Err(what) = upstream.read_whole().await {
            self.fail_unfinished(upstream, what);
            return None;
        }
        let body = upstream.take_body();
        let UpstreamResponse {
            response,
            grant,
            connection,
            ..
        } = upstream;
        let status = response.status();
        let outcome = if status.is_server_error() {
            Outcome::Faulty
        } else {
            Outcome::Served
        };
        self.log_end(&grant.placement, status, outcome, Millis::ZERO);
        UpstreamResponse::finish(grant, connection, outcome);
        let mut reply = http::whole(body);
        *reply.status_mut() = status;
        *reply.headers_mut() = end_to_end(response.headers());
        Some(reply)
    }

    /// Ends the attempt of a response of which the rest did not arrive.
    pub(super) fn fail_unfinished(
        &self,
        upstream: UpstreamResponse,
        what: &'static str,
    ) -> AttemptError {
        let cause = "before the end of the response";
        self.fail_attempt(upstream.grant, what, cause, outcome_of(what))
    }
}

/// Whether this is a status that ends an exchange in HTTP.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether callers take this status as a statement that the request has not run. It is forwarded
/// only if the server itself says so.
fn claims_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
