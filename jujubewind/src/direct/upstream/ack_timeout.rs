//! The limit on unacknowledged data of one connection.

use std::cell::Cell;
use std::rc::Rc;

use super::limits::TCP_USER_TIMEOUT;
use crate::types::Millis;

/// How long data on one connection may stay unacknowledged: `TCP_USER_TIMEOUT`, or longer for a request
/// that nobody else may answer, since a server that reads nothing may be about to go on.
#[derive(Clone, Debug)]
pub struct AckTimeout(Rc<Cell<Millis>>);

impl AckTimeout {
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(TCP_USER_TIMEOUT)))
    }

    /// Allows for a request whose server may acknowledge nothing for `patience`.
    pub fn begin(&self, patience: Millis) {
        self.0.set(patience.max(TCP_USER_TIMEOUT));
    }

    /// Records that no request waits for the server.
    pub fn end(&self) {
        self.0.set(TCP_USER_TIMEOUT);
    }

    /// The timeout in force.
    pub(super) fn get(&self) -> Millis {
        self.0.get()
    }
}
