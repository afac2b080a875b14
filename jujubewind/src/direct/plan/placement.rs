//! The servers chosen for a request.

use std::rc::Rc;

use super::Helper;
use crate::direct::Server;
use crate::scheduler::Work;

/// The servers of one request and its predicted work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The server that receives the request and decodes the answer.
    pub primary: Rc<Server>,
    /// Servers that prefill parts of its prompt.
    pub helpers: Vec<Helper>,
    /// The prefill work of each server.
    pub part: Work,
    /// The predicted time to the first token.
    pub first_token: Work,
}
