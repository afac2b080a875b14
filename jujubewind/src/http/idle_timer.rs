//! A timer that ends the idle periods of connections.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cyper_core::CompioTimer;
use hyper::rt::Sleep;
use hyper::rt::Timer;

use super::IdleLimits;
use super::idle_sleep::IdleSleep;
use crate::timer::Clock;
use crate::types::Millis;
use crate::types::MonoTime;

/// The timer of hyper's header timeout, which runs from the accept or the end of a response until
/// the head of the next request is complete. Clones share the limits.
#[derive(Clone, Debug)]
pub(super) struct IdleTimer {
    clock: Clock,
    limits: Arc<Mutex<IdleLimits>>,
}

impl IdleTimer {
    /// Creates a timer with a first limit.
    pub(super) fn new(limit: Millis) -> Self {
        Self {
            clock: Clock::start(),
            limits: Arc::new(Mutex::new(IdleLimits::new(limit))),
        }
    }

    /// Replaces the limit, also for connections that are idle if the new one is longer.
    pub(super) fn set_limit(&self, limit: Millis) {
        self.limits().set(self.clock.now(), limit);
    }

    /// The limit in force.
    pub(super) fn limit(&self) -> Millis {
        self.limits().current()
    }

    /// The current time.
    pub(super) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// How much longer a connection may be idle that has been so since `since`.
    pub(super) fn remaining(&self, since: MonoTime) -> Millis {
        self.now().until(self.limits().expiry(since))
    }

    fn limits(&self) -> MutexGuard<'_, IdleLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        CompioTimer.sleep(duration)
    }

    /// Starts an idle period. hyper's deadline is not used: it holds the limit that was in force
    /// when the connection was accepted.
    fn sleep_until(&self, _deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep::new(self.clone()))
    }
}
