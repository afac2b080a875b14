//! The gaps between the events of one stream.

use crate::types::Millis;
use crate::types::MonoTime;

/// Tracks the longest gap between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct GapTracker {
    last: Option<MonoTime>,
    longest: Millis,
}

impl GapTracker {
    /// Records an event.
    pub fn record(&mut self, now: MonoTime) {
        if let Some(last) = self.last {
            self.longest = self.longest.max(now.since(last));
        }
        self.last = Some(now);
    }

    /// The longest gap so far.
    pub const fn longest(&self) -> Millis {
        self.longest
    }
}
