//! What the tasks of one entry share.

use std::rc::Rc;

use super::EntryState;
use super::Pool;
use crate::metrics::DirectMetrics;

/// Handles to what the control task and the tasks of requests both use.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The newest table and its proof.
    pub state: Rc<EntryState>,
    /// Connections to backend servers.
    pub pool: Rc<Pool>,
    /// Counters.
    pub metrics: Rc<DirectMetrics>,
}
