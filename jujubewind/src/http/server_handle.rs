//! A handle that controls a running server.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use super::counted_connection::CountedConnection;
use super::idle_timer::IdleTimer;
use crate::types::Millis;

/// Default limit on the time for which a connection is idle; it ends slow-loris connections.
const DEFAULT_IDLE_LIMIT: Millis = Millis(5_000);

/// Sets the idle limit of a server's connections and closes them; clones share the state.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    idle_timer: IdleTimer,
    /// Dropped to signal `closed`; nothing is ever sent.
    open: Rc<RefCell<Option<Sender<Infallible>>>>,
    closed: Receiver<Infallible>,
    /// Dropped to signal `accepting_ended`; nothing is ever sent.
    accepting: Rc<RefCell<Option<Sender<Infallible>>>>,
    accepting_ended: Receiver<Infallible>,
    connections: Rc<Cell<usize>>,
}

impl ServerHandle {
    /// Creates a handle with the default idle limit.
    #[must_use]
    pub fn new() -> Self {
        let (open, closed) = flume::bounded(1);
        let (accepting, accepting_ended) = flume::bounded(1);
        Self {
            idle_timer: IdleTimer::new(DEFAULT_IDLE_LIMIT),
            open: Rc::new(RefCell::new(Some(open))),
            closed,
            accepting: Rc::new(RefCell::new(Some(accepting))),
            accepting_ended,
            connections: Rc::default(),
        }
    }

    /// Sets the time within which a connection must send the head of its next request, counted from
    /// the end of the last response. A connection that is idle keeps a longer limit that was in force
    /// since it became idle.
    pub fn set_idle_limit(&self, limit: Millis) {
        self.idle_timer.set_limit(limit);
    }

    /// Closes each connection after the request in progress. One that has had no request, or is
    /// accepted later, stays open for its first request, whose response has to close it.
    pub fn close(&self) {
        drop(self.open.borrow_mut().take());
    }

    /// Ends `serve` once the connections that have reached the listener are accepted: as long as it
    /// listens, a caller may have connected to a process that is about to end.
    pub fn end_accepting(&self) {
        drop(self.accepting.borrow_mut().take());
    }

    /// The number of open connections; a listener counts as one.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a new connection.
    pub(super) fn count_connection(&self) -> CountedConnection {
        CountedConnection::new(self.connections.clone())
    }

    pub(super) fn idle_timer(&self) -> IdleTimer {
        self.idle_timer.clone()
    }

    /// Waits until no more connections are to be accepted.
    pub(super) async fn accepting_ended(&self) {
        let _ = self.accepting_ended.recv_async().await;
    }

    /// Waits until the handle is closed.
    pub(super) async fn closed(&self) {
        let _ = self.closed.recv_async().await;
    }
}

impl Default for ServerHandle {
    fn default() -> Self {
        Self::new()
    }
}
