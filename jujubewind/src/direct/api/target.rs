//! What the newest table says of a request.

use std::rc::Rc;

use crate::direct::Organisation;
use crate::direct::Route;
use crate::direct::ServiceId;

/// Where a request goes and for whom.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its route.
    pub route: Rc<Route>,
    /// The service that takes it.
    pub service: ServiceId,
    /// The owner of its key.
    pub organisation: Option<Rc<Organisation>>,
}

impl Target {
    /// The request's rank; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let own = self
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }
}
