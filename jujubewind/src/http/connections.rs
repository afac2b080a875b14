//! The open connections of a server.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use super::Phase;

/// A connection in the table, and how to end it.
#[derive(Debug)]
struct Open {
    phase: Phase,
    end: Sender<()>,
}

/// The connections of one server, of which there is a greatest number.
///
/// This answers callers that open more connections than the process has memory and descriptors for:
/// the connection that has waited for its caller for longest makes room for a new one, so that ordinary
/// callers still get in. A request that has been read is never ended for it.
#[derive(Debug)]
pub struct Connections {
    limit: Cell<usize>,
    /// All connections and listeners.
    count: Cell<usize>,
    open: RefCell<BTreeMap<u64, Open>>,
    next: Cell<u64>,
    clock: Phase,
    closed: Cell<u64>,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            limit: Cell::new(usize::MAX),
            count: Cell::default(),
            open: RefCell::default(),
            next: Cell::default(),
            clock: Phase::default(),
            closed: Cell::default(),
        }
    }
}

impl Connections {
    /// Sets the greatest number of connections.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// The number of connections and listeners.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// The connections that were closed to make room since the last call.
    #[must_use]
    pub fn take_closed(&self) -> u64 {
        self.closed.take()
    }

    /// Counts a listener until the guard is dropped.
    #[must_use]
    pub fn count_listener(self: &Rc<Self>) -> Counted {
        Counted::new(self.clone(), None)
    }

    /// Adds a connection, for which another one may have to end; `None` if all of them have requests
    /// in progress.
    #[must_use]
    pub fn add(self: &Rc<Self>) -> Option<(Counted, Phase, Receiver<()>)> {
        if self.open.borrow().len() >= self.limit.get() && !self.end_longest_wait() {
            self.closed.set(self.closed.get() + 1);
            return None;
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let phase = self.clock.start();
        let (end, ended) = flume::bounded(1);
        let open = Open {
            phase: phase.clone(),
            end,
        };
        self.open.borrow_mut().insert(id, open);
        Some((Counted::new(self.clone(), Some(id)), phase, ended))
    }

    /// Ends the connection that has waited for its caller for longest; returns whether there was one.
    fn end_longest_wait(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let waiting = open.iter();
        let waiting = waiting.filter_map(|(id, one)| Some((one.phase.waits_since()?, *id)));
        let Some((_, id)) = waiting.min() else {
            return false;
        };
        if let Some(ended) = open.remove(&id) {
            let _ = ended.end.try_send(());
        }
        self.closed.set(self.closed.get() + 1);
        true
    }
}

/// Counts a connection or a listener until it is dropped.
#[derive(Debug)]
pub struct Counted {
    connections: Rc<Connections>,
    /// `None` for a listener.
    id: Option<u64>,
}

impl Counted {
    fn new(connections: Rc<Connections>, id: Option<u64>) -> Self {
        connections.count.set(connections.count.get() + 1);
        Self { connections, id }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let connections = &self.connections;
        connections.count.set(connections.count.get() - 1);
        if let Some(id) = self.id {
            connections.open.borrow_mut().remove(&id);
        }
    }
}
