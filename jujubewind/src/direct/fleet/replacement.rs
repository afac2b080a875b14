//! How a whole list of backend servers differs from the one before.

use std::rc::Rc;

use super::Server;
use super::ServerId;

/// The servers whose incarnation is no longer listed.
#[derive(Clone, Debug)]
pub struct Replacement {
    /// Those that were removed.
    pub removed: Vec<Rc<Server>>,
    /// Those that have restarted.
    pub restarted: Vec<ServerId>,
}
