//! The lifecycle phase of a daemon as a single value that its task can own.

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

/// The current lifecycle phase of a daemon.
#[derive(Debug)]
pub struct Stage {
    phase: Option<Phase>,
}

impl Stage {
    /// Creates the stage of a daemon that accepts requests.
    #[must_use]
    pub fn serving() -> Self {
        Self {
            phase: Some(Phase::Serving(Daemon::new().serve())),
        }
    }

    /// Whether the daemon is ready.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        matches!(self.phase, Some(Phase::Serving(_)))
    }

    /// Whether the daemon may exit.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Some(Phase::Stopped) | None)
    }

    /// Returns why new requests are refused; `None` while they are accepted.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        match &self.phase {
            Some(Phase::Draining(daemon)) => daemon.refusal(),
            _ => None,
        }
    }

    /// Starts draining; a repeated signal changes nothing.
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

    /// Advances a drain with the open requests.
    pub fn tick(&mut self, now: MonoTime, requests: OpenRequests) {
        self.phase = match self.phase.take() {
            Some(Phase::Draining(daemon)) => Some(match daemon.tick(now, requests) {
                Ok(_) => Phase::Stopped,
                Err(draining) => Phase::Draining(draining),
            }),
            other => other,
        };
    }
}
