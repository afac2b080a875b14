//! When an engine that was silent is trusted again.

use crate::types::Millis;
use crate::types::MonoTime;

/// Observes an engine that sends events again after a silence.
#[derive(Clone, Copy, Debug)]
pub struct Recovery {
    max_silence: Millis,
    silent_since: MonoTime,
    began: MonoTime,
    last: MonoTime,
}

impl Recovery {
    /// Starts with the event before the silence; `max_silence` is the longest gap between events.
    #[must_use]
    pub const fn new(max_silence: Millis, last: MonoTime) -> Self {
        Self {
            max_silence,
            silent_since: last,
            began: last,
            last,
        }
    }

    /// Whether there was an event after the silence.
    #[must_use]
    pub fn has_resumed(&self) -> bool {
        self.last > self.silent_since
    }

    /// Records an event; returns whether the engine has gone on for as long as it may be silent.
    pub fn record(&mut self, now: MonoTime) -> bool {
        if now.since(self.last) >= self.max_silence {
            self.began = now;
        }
        self.last = now;
        now.since(self.began) >= self.max_silence
    }
}
