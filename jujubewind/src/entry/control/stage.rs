//! Where the entry stands in its life, with the requests in hand.

use crate::lifecycle::Daemon;
use crate::lifecycle::DrainLimits;
use crate::lifecycle::Draining;
use crate::lifecycle::Load;
use crate::lifecycle::Serving;
use crate::lifecycle::Stopped;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::MonoTime;

/// The phases of the daemon's typestate, as one value that a task can hold.
#[derive(Debug)]
enum Phase {
    Serving(Daemon<Serving>),
    Draining(Daemon<Draining>),
    Stopped(#[allow(dead_code, reason = "kept for its type")] Daemon<Stopped>),
}

/// The daemon's phase and its load.
#[derive(Debug)]
pub(super) struct Stage {
    phase: Option<Phase>,
    load: Load,
}

impl Stage {
    /// A daemon that takes requests.
    pub(super) fn serving() -> Self {
        Self {
            phase: Some(Phase::Serving(Daemon::new().serve())),
            load: Load::NONE,
        }
    }

    /// Whether readiness holds.
    pub(super) fn is_serving(&self) -> bool {
        matches!(self.phase, Some(Phase::Serving(_)))
    }

    /// Whether nothing is left to do.
    pub(super) fn is_over(&self) -> bool {
        matches!(self.phase, Some(Phase::Stopped(_)) | None)
    }

    /// Why a new request is refused; `None` while it is taken.
    pub(super) fn refusal(&self) -> Option<Refusal> {
        match &self.phase {
            Some(Phase::Draining(daemon)) => daemon.refusal(),
            _ => None,
        }
    }

    /// Notes a request that is taken and ends at `deadline` at the latest.
    pub(super) fn begin(&mut self, deadline: MonoTime) {
        self.load.open += 1;
        self.load.deadline = self.load.deadline.max(deadline);
    }

    /// Notes that a request is over.
    pub(super) fn end(&mut self) {
        self.load.open = self.load.open.saturating_sub(1);
    }

    /// Begins the stop; a second signal changes nothing.
    pub(super) fn stop(&mut self, now: MonoTime, grace: Millis) {
        self.phase = match self.phase.take() {
            Some(Phase::Serving(daemon)) => daemon
                .drain(now, DrainLimits::entry(grace))
                .map(Phase::Draining)
                .ok(),
            Some(Phase::Draining(mut daemon)) => {
                daemon.stop_again();
                Some(Phase::Draining(daemon))
            }
            other => other,
        };
    }

    /// Moves a stop on.
    pub(super) fn tick(&mut self, now: MonoTime) {
        self.phase = match self.phase.take() {
            Some(Phase::Draining(daemon)) => Some(match daemon.tick(now, self.load) {
                Ok(stopped) => Phase::Stopped(stopped),
                Err(draining) => Phase::Draining(draining),
            }),
            other => other,
        };
    }
}
