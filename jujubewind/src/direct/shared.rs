//! State shared by the tasks of one entry.

use std::rc::Rc;

use super::EntryState;
use super::Pool;
use crate::metrics::DirectMetrics;

/// Handles that the control task and the request tasks share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The newest table and when it was last confirmed.
    pub state: Rc<EntryState>,
    /// Connections to backend servers.
    pub pool: Rc<Pool>,
    /// The counters.
    pub metrics: Rc<DirectMetrics>,
}
