//! Logging and metrics of one request.

use hyper::StatusCode;

use super::super::target::Target;
use super::Exchange;
use crate::direct::Dialect;
use crate::direct::Outcome;
use crate::direct::Placement;
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

    /// Logs that an attempt failed: `what` went wrong, and its `cause`.
    pub(in crate::direct::api) fn log_attempt_failure(
        &self,
        placement: &Placement,
        what: &str,
        cause: impl std::fmt::Display,
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
