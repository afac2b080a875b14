//! A connection in the count of its server.

use std::cell::Cell;
use std::rc::Rc;

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub struct CountedConnection(Rc<Cell<usize>>);

impl CountedConnection {
    /// Adds a connection to `count`.
    pub(super) fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
