//! One idle period of a connection.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use cyper_core::CompioTimer;
use hyper::rt::Sleep;
use hyper::rt::Timer;

use super::idle_timer::IdleTimer;
use crate::types::Millis;
use crate::types::MonoTime;

/// Completes when an idle period that began with its creation is too long.
pub(super) struct IdleSleep {
    timer: IdleTimer,
    since: MonoTime,
    /// Ends at the expiry that was last known; the limit may have been raised since.
    sleep: Pin<Box<dyn Sleep>>,
}

impl IdleSleep {
    pub(super) fn new(timer: IdleTimer) -> Self {
        let since = timer.now();
        let sleep = CompioTimer.sleep(timer.remaining(since).duration());
        Self {
            timer,
            since,
            sleep,
        }
    }
}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let remaining = self.timer.remaining(self.since);
            if remaining == Millis::ZERO {
                return Poll::Ready(());
            }
            self.sleep = CompioTimer.sleep(remaining.duration());
        }
    }
}

impl Sleep for IdleSleep {}
