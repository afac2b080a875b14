//! A handle that controls a running server.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use super::ConnectionLimits;
use super::Phase;
use super::connections::Connections;
use super::connections::Counted;
use super::idle_timer::IdleTimer;
use crate::types::Bytes;
use crate::types::Millis;

/// Default limit on the time for which a connection is idle; it ends slow-loris connections.
const DEFAULT_IDLE_LIMIT: Millis = Millis(5_000);
/// Default limit on the head of a request.
const DEFAULT_HEAD_LIMIT: Bytes = Bytes(64 * 1_024);
/// What a connection reads at once beyond the largest head, in bytes.
const BUFFER_MARGIN: usize = 1_024;
/// The smallest buffer that hyper allows, in bytes.
const MIN_BUFFER: usize = 8 * 1_024;

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
    connections: Rc<Connections>,
    /// The largest head of a request.
    head_limit: Rc<Cell<Bytes>>,
    limits: Rc<Cell<ConnectionLimits>>,
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
            head_limit: Rc::new(Cell::new(DEFAULT_HEAD_LIMIT)),
            limits: Rc::new(Cell::new(ConnectionLimits::NONE)),
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
        self.connections.count()
    }

    /// Sets what all connections may take together.
    pub fn set_connection_limits(&self, limits: ConnectionLimits) {
        self.limits.set(limits);
        self.limit_connections();
    }

    /// Sets the largest head of a request on connections that are accepted from now on; a longer one is
    /// refused. The number of connections follows from it.
    pub fn set_head_limit(&self, limit: Bytes) {
        self.head_limit.set(limit);
        self.limit_connections();
    }

    fn limit_connections(&self) {
        let most = self.limits.get().most(self.head_limit.get());
        self.connections.set_limit(most);
    }

    /// The connections that were closed to make room since the last call.
    #[must_use]
    pub fn take_closed(&self) -> u64 {
        self.connections.take_closed()
    }

    /// The bytes that a connection buffers.
    pub(super) fn buffer_bytes(&self) -> usize {
        let head = usize::try_from(self.head_limit.get().get()).unwrap_or(usize::MAX);
        head.saturating_add(BUFFER_MARGIN).max(MIN_BUFFER)
    }

    /// Counts a listener.
    pub(super) fn count_listener(&self) -> Counted {
        self.connections.count_listener()
    }

    /// Counts a new connection; `None` if there is no room for it.
    pub(super) fn add_connection(&self) -> Option<(Counted, Phase, Receiver<()>)> {
        self.connections.add()
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
