//! The lifecycle of a daemon as a typestate: an operation in the wrong phase does not compile.

use super::Drain;
use super::DrainLimits;
use super::OpenRequests;
use super::Result;
use crate::refusal::Refusal;
use crate::types::MonoTime;

/// Phase: sockets are bound and settings read; no requests are accepted.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// Phase: requests are accepted and the daemon is ready.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// Phase: the daemon is stopping and no longer ready.
#[derive(Clone, Debug)]
pub struct Draining {
    drain: Drain,
}

/// Phase: the daemon may exit.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// A daemon in lifecycle phase `P`.
#[derive(Clone, Debug)]
pub struct Daemon<P> {
    phase: P,
}

impl Daemon<Starting> {
    /// Creates a daemon that has just been started.
    #[must_use]
    pub const fn new() -> Self {
        Self { phase: Starting }
    }

    /// Starts to accept requests.
    #[must_use]
    pub fn serve(self) -> Daemon<Serving> {
        Daemon { phase: Serving }
    }
}

impl Default for Daemon<Starting> {
    fn default() -> Self {
        Self::new()
    }
}

impl Daemon<Serving> {
    /// Starts draining at the first stop signal.
    ///
    /// # Errors
    /// Fails if the state chart is invalid.
    pub fn drain(self, now: MonoTime, limits: DrainLimits) -> Result<Daemon<Draining>> {
        let drain = Drain::begin(now, limits)?;
        Ok(Daemon {
            phase: Draining { drain },
        })
    }
}

impl Daemon<Draining> {
    /// Returns why new requests are refused; `None` while they are accepted.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        self.phase.drain.refusal()
    }

    /// Handles a repeated stop signal, which changes nothing.
    pub fn stop_again(&mut self) {
        self.phase.drain.stop_again();
    }

    /// Advances the drain.
    ///
    /// # Errors
    /// Returns the daemon while there are open requests to wait for.
    pub fn tick(
        mut self,
        now: MonoTime,
        requests: OpenRequests,
    ) -> std::result::Result<Daemon<Stopped>, Self> {
        self.phase.drain.tick(now, requests);
        if self.phase.drain.is_over() {
            return Ok(Daemon { phase: Stopped });
        }
        Err(self)
    }
}
