//! The event queue of the simulation.

use std::collections::BTreeMap;

use jujubewind::types::MonoTime;

/// Events ordered by time; events at the same time keep their insertion order.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(MonoTime, u64), E>,
    count: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
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

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(MonoTime, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
