//! One try of a request at one backend server.

use std::fmt::Display;
use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::StatusCode;

use super::super::hop::end_to_end;
use super::super::limits::FIRST_SILENCE;
use super::super::limits::LEAST_SILENCE;
use super::super::limits::RESERVATION_RETRY_DELAY;
use super::super::opened::Opened;
use super::super::reservations::Reservations;
use super::super::target::Target;
use super::Exchange;
use super::Miss;
use super::Result;
use crate::direct::Connection;
use crate::direct::Dialect;
use crate::direct::Grant;
use crate::direct::Message;
use crate::direct::Outcome;
use crate::direct::Placement;
use crate::direct::RouteKind;
use crate::direct::SendFault;
use crate::direct::Server;
use crate::http;
use crate::http::Reply;
use crate::refusal::Reason;
use crate::types::Millis;
use crate::types::Tokens;

/// What a try brings.
type Try<T> = std::result::Result<T, Miss>;

impl<D: Dialect> Exchange<D> {
    /// Sends the request to one backend server. The outer error ends the request.
    pub(super) async fn attempt(
        &self,
        target: &Target,
        grant: Grant,
        last: Option<u64>,
    ) -> Result<Try<Opened>> {
        self.placed(target, &grant.placement);
        let grant = match self.set_aside(grant).await {
            Ok(grant) => grant,
            Err(miss) => return Ok(Err(miss)),
        };
        let (grant, connection) = match self.connect(target, grant).await {
            Ok(connected) => connected,
            Err(miss) => return Ok(Err(miss)),
        };
        // The key may have been taken away while the connection was made.
        let target = self.resolve()?;
        let opened = self.send(&target, grant, connection, last).await;
        Ok(opened.and_then(|opened| self.judge(&target, opened)))
    }

    /// Sets memory aside at the helpers that keep some of the prompt.
    async fn set_aside(&self, mut grant: Grant) -> Try<Grant> {
        let helpers = &grant.placement.helpers;
        if helpers.iter().all(|helper| helper.memory == Tokens::ZERO) {
            return Ok(grant);
        }
        let name = format!("{}x{}", self.call.id, self.runs.get());
        let Some(reservations) = Reservations::take(&self.gateway, &name, helpers).await else {
            let cause = "an engine refused to set memory aside";
            self.note(&grant.placement, "no_memory", cause);
            drop(grant);
            self.gateway.pause(RESERVATION_RETRY_DELAY).await;
            return Err(Miss::NotRun(Reason::NoMemory));
        };
        grant.keep(reservations);
        Ok(grant)
    }

    async fn connect(&self, target: &Target, grant: Grant) -> Try<(Grant, Connection)> {
        let once = !target.route.repeatable();
        let primary = &grant.placement.primary;
        match self.gateway.pool.connect(primary, once).await {
            Ok(connection) => Ok((grant, connection)),
            Err(fault) => {
                self.miss(grant, "unreachable", fault, Outcome::Unreachable);
                Err(Miss::NotRun(Reason::BackendDown))
            }
        }
    }

    /// Sends the request and waits for the head of the answer; from then on it may have run.
    async fn send(
        &self,
        target: &Target,
        grant: Grant,
        mut connection: Connection,
        last: Option<u64>,
    ) -> Try<Opened> {
        let request = self.request(target, &grant, last);
        self.runs.set(self.runs.get() + 1);
        let silence = self.silence(target, &grant.placement);
        let sending = connection.send(request);
        let sent = match silence {
            Some(silence) => compio::time::timeout(silence.duration(), sending)
                .await
                .ok(),
            None => Some(sending.await),
        };
        match sent {
            Some(Ok(response)) => Ok(Opened {
                response,
                grant,
                connection,
            }),
            Some(Err(SendFault::Unsent(cause))) => {
                self.runs.set(self.runs.get() - 1);
                self.note(&grant.placement, "unsent", &cause);
                Err(Miss::NotRun(Reason::BackendDown))
            }
            Some(Err(fault)) => Err(self.miss(grant, "broken", fault, Outcome::Broken)),
            None => {
                let silence = silence.unwrap_or_default();
                Err(self.miss(grant, "silent", silence, Outcome::Silent))
            }
        }
    }

    /// Decides whether an answer is one to pass on.
    fn judge(&self, target: &Target, opened: Opened) -> Try<Opened> {
        let status = opened.response.status();
        let headers = opened.response.headers();
        let answer = self.gateway.dialect.parse_response(status, headers);
        if answer.id.as_ref().is_some_and(|id| *id != self.call.id) {
            return Err(self.miss(opened.grant, "crossed", status, Outcome::Faulty));
        }
        if answer.refused {
            self.runs.set(self.runs.get() - 1);
            self.refused(opened.grant, answer.culprit.as_deref(), status);
            return Err(Miss::NotRun(Reason::QueueFull));
        }
        let sound = !status.is_success() || answer.sealed;
        if !sound || is_promise(status) {
            return Err(self.miss(opened.grant, "faulty", status, Outcome::Faulty));
        }
        let repeats = target.route.repeatable() && self.has_runs(target);
        if status.is_server_error() && repeats {
            return Err(self.miss(opened.grant, "failed", status, Outcome::Faulty));
        }
        Ok(opened)
    }

    /// Ends a stay that was refused, and passes over the helper that is to blame for it.
    fn refused(&self, grant: Grant, culprit: Option<&str>, status: StatusCode) {
        let servers = grant.placement.helpers.iter().map(|helper| &helper.server);
        let named = |server: &&Rc<Server>| {
            culprit
                .is_some_and(|name| name == server.id.as_str() || name == server.addr.to_string())
        };
        let Some(helper) = servers.clone().find(named).cloned() else {
            self.miss(grant, "refused", status, Outcome::Refused);
            return;
        };
        let cause = format!("helper {} is to blame", helper.id);
        self.note(&grant.placement, "refused", cause);
        self.avoid(&helper.id);
        self.gateway
            .control
            .send(Message::Suspect(helper.id.clone()));
        grant.end(Outcome::Refused);
    }

    /// Ends a stay that brought no answer to pass on; its server is avoided from now on.
    fn miss(&self, grant: Grant, what: &str, cause: impl Display, outcome: Outcome) -> Miss {
        self.note(&grant.placement, what, cause);
        self.avoid(&grant.placement.primary.id);
        grant.end(outcome);
        Miss::Doubt
    }

    /// Reads an answer to its end; `None` if it broke off.
    pub(super) async fn whole(&self, opened: Opened) -> Option<Reply> {
        let Opened {
            response,
            grant,
            connection,
        } = opened;
        let (head, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => {
                let failed = head.status.is_server_error();
                let outcome = if failed {
                    Outcome::Faulty
                } else {
                    Outcome::Served
                };
                self.ended(&grant.placement, head.status, outcome, Millis::ZERO);
                Opened::finish(grant, connection, outcome);
                let mut reply = http::bytes(body.to_bytes());
                *reply.status_mut() = head.status;
                *reply.headers_mut() = end_to_end(&head.headers);
                Some(reply)
            }
            Err(error) => {
                self.miss(grant, "cut", error, Outcome::Broken);
                None
            }
        }
    }

    /// How long a backend server may be silent before the request goes elsewhere.
    fn silence(&self, target: &Target, placement: &Placement) -> Option<Millis> {
        if !target.route.repeatable() || !self.has_runs(target) {
            return None;
        }
        if target.route.kind == RouteKind::Stream {
            let predicted = placement.first_token.millis();
            let client_timeout = target.route.client_timeout.get();
            let silence = Millis(client_timeout * FIRST_SILENCE / 1_000);
            return Some(predicted.saturating_add(predicted).saturating_add(silence));
        }
        let latency_target = target.route.latency_target;
        Some(Millis(latency_target.get() + latency_target.get() / 2).max(LEAST_SILENCE))
    }
}

/// Whether a status promises that the request has not run, which only the server's own word may.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
