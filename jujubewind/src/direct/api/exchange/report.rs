//! Log lines of one request.

use hyper::StatusCode;

use super::super::target::Target;
use super::Exchange;
use crate::direct::Dialect;
use crate::direct::Outcome;
use crate::direct::Placement;
use crate::types::Millis;

impl<D: Dialect> Exchange<D> {
    /// Logs the end of an answer that was passed on.
    pub(in crate::direct::api) fn ended(
        &self,
        placement: &Placement,
        status: StatusCode,
        outcome: Outcome,
        pause: Millis,
    ) {
        let took = self.gateway.clock.now().since(self.arrived);
        self.gateway.metrics.ended(self.prompt(), took, pause);
        crate::event!(
            info,
            "request_ended",
            request = self.call.id,
            server = placement.primary.id,
            status = status.as_u16(),
            outcome = outcome,
            runs = self.runs.get(),
            pause = pause,
            took = took,
        );
    }

    /// Logs where the request goes and what decided it.
    pub(in crate::direct::api) fn placed(&self, target: &Target, placement: &Placement) {
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
    pub(in crate::direct::api) fn began(&self, placement: &Placement) {
        let took = self.gateway.clock.now().since(self.arrived);
        self.gateway.metrics.first_event(self.prompt(), took);
        crate::event!(
            info,
            "stream_began",
            request = self.call.id,
            server = placement.primary.id,
            predicted = placement.first_token,
            took = took,
        );
    }

    /// Logs why a backend server's answer is not passed on.
    pub(in crate::direct::api) fn note(
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
