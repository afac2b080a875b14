//! The answer to where a request goes.

use std::rc::Rc;

use super::Helper;
use crate::direct::Server;
use crate::scheduler::Work;

/// The backend servers of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The one that receives it and writes the answer.
    pub primary: Rc<Server>,
    /// Those that read parts of its prompt.
    pub helpers: Vec<Helper>,
    /// What each of them reads.
    pub part: Work,
    /// The predicted time to the first token.
    pub first_token: Work,
}
