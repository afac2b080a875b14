//! Backend servers that have a request and are silent.

use std::cell::RefCell;
use std::rc::Rc;

use crate::direct::ServerId;

/// The silent backend servers of one request, which may still answer.
#[derive(Debug, Default)]
pub(super) struct SilentServers(Rc<RefCell<Vec<ServerId>>>);

/// The silence of one backend server; it ends when this is dropped.
#[derive(Debug)]
#[must_use]
pub struct Silence {
    server: ServerId,
    servers: Rc<RefCell<Vec<ServerId>>>,
}

impl SilentServers {
    pub(super) fn add(&self, server: &ServerId) -> Silence {
        self.0.borrow_mut().push(server.clone());
        Silence {
            server: server.clone(),
            servers: self.0.clone(),
        }
    }

    pub(super) fn contains(&self, server: &ServerId) -> bool {
        self.0.borrow().contains(server)
    }
}

impl Drop for Silence {
    fn drop(&mut self) {
        let mut servers = self.servers.borrow_mut();
        if let Some(index) = servers.iter().position(|other| *other == self.server) {
            servers.swap_remove(index);
        }
    }
}
