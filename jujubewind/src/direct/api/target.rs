//! The routing decision for a request.

use std::rc::Rc;

use crate::direct::Organisation;
use crate::direct::Route;
use crate::direct::ServiceId;

/// The route, the service and the organisation of a request.
#[derive(Clone, Debug)]
pub struct Target {
    /// The matching route.
    pub route: Rc<Route>,
    /// The service chosen among the route's targets.
    pub service: ServiceId,
    /// The organisation that owns the request's key.
    pub organisation: Option<Rc<Organisation>>,
}

impl Target {
    /// The request's priority; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let own = self
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }
}
