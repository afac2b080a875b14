//! The life of a daemon as types: what is done in a wrong phase does not compile.

use super::Drain;
use super::DrainLimits;
use super::OpenRequests;
use super::Result;
use crate::refusal::Refusal;
use crate::types::MonoTime;

/// Sockets are bound and settings read; no request is taken.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// Requests are taken and readiness holds.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// A stop is under way and readiness fails.
#[derive(Clone, Debug)]
pub struct Draining {
    drain: Drain,
}

/// Nothing is left to do.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// A daemon in the phase `P` of its life.
#[derive(Clone, Debug)]
pub struct Daemon<P> {
    phase: P,
}

impl Daemon<Starting> {
    /// A daemon that has just been started.
    #[must_use]
    pub const fn new() -> Self {
        Self { phase: Starting }
    }

    /// Takes requests from now on.
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
    /// Begins the stop at the first stop signal.
    ///
    /// # Errors
    /// The chart of the stop is faulty.
    pub fn drain(self, now: MonoTime, limits: DrainLimits) -> Result<Daemon<Draining>> {
        let drain = Drain::begin(now, limits)?;
        Ok(Daemon {
            phase: Draining { drain },
        })
    }
}

impl Daemon<Draining> {
    /// Why a new request is refused; `None` while it is taken.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        self.phase.drain.refusal()
    }

    /// Takes in another stop signal, which changes nothing.
    pub fn stop_again(&mut self) {
        self.phase.drain.stop_again();
    }

    /// Moves the stop on.
    ///
    /// # Errors
    /// There is still work to wait for: the daemon is given back.
    pub fn tick(
        mut self,
        now: MonoTime,
        load: OpenRequests,
    ) -> std::result::Result<Daemon<Stopped>, Self> {
        self.phase.drain.tick(now, load);
        if self.phase.drain.is_over() {
            return Ok(Daemon { phase: Stopped });
        }
        Err(self)
    }
}
