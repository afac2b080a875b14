//! Events in the order of their times.

use std::collections::BTreeMap;

use jujubewind::types::MonoTime;

/// A queue of events; equal times keep the order in which they were added.
#[derive(Debug)]
pub struct Queue<E> {
    events: BTreeMap<(MonoTime, u64), E>,
    count: u64,
}

impl<E> Queue<E> {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            count: 0,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: MonoTime, event: E) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// Takes the earliest event.
    pub fn pop(&mut self) -> Option<(MonoTime, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
