//! The readiness endpoint for the platform's load balancer.

use std::rc::Rc;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::direct::BootTime;
use crate::direct::EntryState;
use crate::http;
use crate::http::Handler;
use crate::http::Reply;

/// Answers the load balancer's readiness checks.
#[derive(Debug)]
pub struct Readiness {
    /// The state that decides whether the entry is ready.
    pub state: Rc<EntryState>,
}

impl Handler for Readiness {
    async fn handle(self: Rc<Self>, _: Request<Incoming>) -> Reply {
        let now = BootTime::now();
        if self.state.is_ready(now) && !self.state.is_stopping() {
            http::plain(StatusCode::OK, "ready\n")
        } else {
            http::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}
