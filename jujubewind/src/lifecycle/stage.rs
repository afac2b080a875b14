//! Where a daemon stands in its life, as one value that its task can hold.

use super::Daemon;
use super::DrainLimits;
use super::Draining;
use super::OpenRequests;
use super::Serving;
use crate::refusal::Refusal;
use crate::types::MonoTime;

/// The phases of the daemon's typestate.
#[derive(Debug)]
enum Phase {
    Serving(Daemon<Serving>),
    Draining(Daemon<Draining>),
    Stopped,
}

/// The daemon's phase.
#[derive(Debug)]
pub struct Stage {
    phase: Option<Phase>,
}

impl Stage {
    /// A daemon that takes requests.
    #[must_use]
    pub fn serving() -> Self {
        Self {
            phase: Some(Phase::Serving(Daemon::new().serve())),
        }
    }

    /// Whether readiness holds.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        matches!(self.phase, Some(Phase::Serving(_)))
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Some(Phase::Stopped) | None)
    }

    /// Why a new request is refused; `None` while it is taken.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        match &self.phase {
            Some(Phase::Draining(daemon)) => daemon.refusal(),
            _ => None,
        }
    }

    /// Begins the stop; a second signal changes nothing.
    pub fn stop(&mut self, now: MonoTime, limits: DrainLimits) {
        self.phase = match self.phase.take() {
            Some(Phase::Serving(daemon)) => daemon.drain(now, limits).map(Phase::Draining).ok(),
            Some(Phase::Draining(mut daemon)) => {
                daemon.stop_again();
                Some(Phase::Draining(daemon))
            }
            other => other,
        };
    }

    /// Moves a stop on with the work in hand.
    pub fn tick(&mut self, now: MonoTime, load: OpenRequests) {
        self.phase = match self.phase.take() {
            Some(Phase::Draining(daemon)) => Some(match daemon.tick(now, load) {
                Ok(_) => Phase::Stopped,
                Err(draining) => Phase::Draining(draining),
            }),
            other => other,
        };
    }
}
