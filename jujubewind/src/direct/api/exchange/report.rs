//! Logging and metrics of one request.

use std::fmt::Display;

use hyper::StatusCode;

use super::super::target::Target;
use super::Exchange;
use crate::direct::Dialect;
use crate::direct::Outcome;
use crate::direct::Placement;
use crate::direct::ServerId;
use crate::types::Millis;

impl<D: Dialect> Exchange<D> {
    /// Logs the end of a forwarded response; `max_gap` is the longest gap between its events.
    pub(in crate::direct::api) fn log_end(
        &self,
        placement: &Placement,
        status: StatusCode,
        outcome: Outcome,
        max_gap: Millis,
    ) {
        self.is_ended.set(true);
        let took = self.gateway.clock.now().since(self.arrived);
        self.gateway
            .metrics
            .record_end(self.prompt(), took, max_gap);
        crate::event!(
            info,
            "request_ended",
            request = self.call.id,
            server = placement.primary.id,
            status = status.as_u16(),
            outcome = outcome,
            runs = self.runs.get(),
            pause = max_gap,
            took = took,
        );
    }

    /// Logs the placement of the request, with its predicted time to the first token.
    pub(in crate::direct::api) fn log_placement(&self, target: &Target, placement: &Placement) {
        let waited = self.gateway.clock.now().since(self.arrived);
        crate::event!(
            info,
            "request_placed",
            request = self.call.id,
            route = target.route.name,
            server = placement.primary.id,
            helpers = placement.helpers.len(),
            prompt = self.prompt().get(),
            part = placement.part,
            first = placement.first_token,
            waited = waited,
            left = self.left(target),
        );
    }

    /// Logs the first event of a stream.
    pub(in crate::direct::api) fn log_first_event(&self, placement: &Placement) {
        let took = self.gateway.clock.now().since(self.arrived);
        self.gateway.metrics.record_first_event(self.prompt(), took);
        crate::event!(
            info,
            "stream_began",
            request = self.call.id,
            server = placement.primary.id,
            predicted = placement.first_token,
            took = took,
        );
    }

    /// Logs that a backend server has sent nothing for `quiet`.
    pub(in crate::direct::api) fn log_silent(&self, server: &ServerId, quiet: Millis) {
        crate::event!(
            info,
            "server_silent",
            request = self.call.id,
            server = server,
            quiet = quiet,
            runs = self.runs.get(),
        );
    }

    /// Logs that no other backend server took the request over, and why.
    pub(in crate::direct::api) fn log_kept(&self, reason: &dyn Display) {
        crate::event!(
            info,
            "not_taken_over",
            request = self.call.id,
            reason = reason,
            runs = self.runs.get(),
        );
    }

    /// Logs that the answer was truncated after the event `last`, and why.
    pub(in crate::direct::api) fn log_truncated(&self, what: &'static str, last: Option<u64>) {
        self.is_ended.set(true);
        self.gateway.metrics.count_truncated(what);
        crate::event!(
            warn,
            "answer_truncated",
            request = self.call.id,
            what = what,
            last = last.unwrap_or_default(),
            runs = self.runs.get(),
            took = self.gateway.clock.now().since(self.arrived),
        );
    }

    /// Logs that an attempt failed: `what` went wrong, and its `cause`.
    pub(in crate::direct::api) fn log_attempt_failure(
        &self,
        placement: &Placement,
        what: &str,
        cause: impl Display,
    ) {
        let took = self.gateway.clock.now().since(self.arrived);
        crate::event!(
            warn,
            "attempt_failed",
            request = self.call.id,
            server = placement.primary.id,
            what = what,
            cause = cause,
            runs = self.runs.get(),
            took = took,
        );
    }
}
