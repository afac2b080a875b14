//! Periodic ticks for subscribers.

use flume::Receiver;
use flume::Sender;
use flume::TrySendError;

use super::Clock;
use crate::types::Millis;
use crate::types::MonoTime;

/// Sends ticks to subscribers; a slow subscriber misses ticks instead of queueing them.
#[derive(Clone, Debug)]
pub struct TimerService {
    clock: Clock,
}

impl TimerService {
    /// Creates a service that timestamps its ticks with `clock`.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self { clock }
    }

    /// The clock that timestamps the ticks.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Subscribes to a tick every `period`, until the receiver is dropped.
    #[must_use]
    pub fn subscribe(&self, period: Millis) -> Receiver<MonoTime> {
        let (tx, rx) = flume::bounded(1);
        compio::runtime::spawn(tick(self.clock, period, tx)).detach();
        rx
    }

    /// Waits for `span`.
    pub async fn sleep(&self, span: Millis) {
        compio::time::sleep(span.duration()).await;
    }
}

async fn tick(clock: Clock, period: Millis, tx: Sender<MonoTime>) {
    loop {
        compio::time::sleep(period.duration()).await;
        if let Err(TrySendError::Disconnected(_)) = tx.try_send(clock.now()) {
            return;
        }
    }
}
