//! The pauses between requests to others that nobody takes.

use crate::direct::api::limits::MAX_ASK_PAUSE;
use crate::direct::api::limits::MIN_ASK_PAUSE;
use crate::types::Millis;
use crate::types::MonoTime;

/// When another backend server may be asked again; each pause is twice as long as the one before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    next: Millis,
    until: Option<MonoTime>,
}

impl Backoff {
    /// Starts with no pause under way.
    pub(super) const fn new() -> Self {
        Self {
            next: MIN_ASK_PAUSE,
            until: None,
        }
    }

    /// Begins a pause.
    pub(super) fn pause(&mut self, now: MonoTime) {
        self.until = Some(now.after(self.next));
        self.next = Millis(self.next.get() * 2).min(MAX_ASK_PAUSE);
    }

    /// Ends the pause; the next one is longer.
    pub(super) const fn end(&mut self) {
        self.until = None;
    }

    /// The end of the pause that is under way.
    pub(super) const fn until(&self) -> Option<MonoTime> {
        self.until
    }
}
