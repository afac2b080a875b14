//! How connections are served and when they close.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use crate::types::Millis;

/// The longest wait for a request's header, which ends slow-loris connections.
const HEADER_TIMEOUT: Millis = Millis(5_000);

/// The bounds of a listener's connections and the word to close them; clones share both.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    header_timeout: Rc<Cell<Millis>>,
    open: Rc<RefCell<Option<Sender<Infallible>>>>,
    closed: Receiver<Infallible>,
}

impl ServerHandle {
    /// Connections that stay open.
    #[must_use]
    pub fn new() -> Self {
        let (open, closed) = flume::bounded(1);
        Self {
            header_timeout: Rc::new(Cell::new(HEADER_TIMEOUT)),
            open: Rc::new(RefCell::new(Some(open))),
            closed,
        }
    }

    /// Sets how long a new connection may stay idle and take to send a header.
    pub fn set_header_timeout(&self, time: Millis) {
        self.header_timeout.set(time);
    }

    /// Ends each connection after the request in hand; those accepted later end by their answers.
    pub fn close(&self) {
        drop(self.open.borrow_mut().take());
    }

    pub(super) fn header_timeout(&self) -> Millis {
        self.header_timeout.get()
    }

    /// Waits until the connections should end; never, for one that is accepted after that.
    pub(super) async fn closed(&self) {
        if self.closed.is_disconnected() {
            return std::future::pending().await;
        }
        let _ = self.closed.recv_async().await;
    }
}

impl Default for ServerHandle {
    fn default() -> Self {
        Self::new()
    }
}
