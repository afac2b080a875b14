//! Routes of the HTTP API.

use hyper::Method;

use super::dialect::Dialect;
use crate::types::ModelId;

/// The route of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A generation request.
    Generate(Dialect),
    /// A call to a plain service.
    Service {
        /// The service's name in the catalogue.
        name: ModelId,
        /// The path below the service's root.
        method: String,
    },
    /// The list of models and services that the caller may use.
    Models,
    /// The liveness probe.
    Live,
    /// The readiness probe of the load balancer.
    Ready,
    /// The status of the entry.
    Status,
    /// An explanation of how a request would be routed.
    Explain,
    /// The metrics.
    Metrics,
}

/// The prefix of calls to plain services.
const SERVICES: &str = "/v1/services/";

impl Route {
    /// Returns the route of a method and path; `None` if there is none.
    pub fn parse(method: &Method, path: &str) -> Option<Self> {
        if let Some(rest) = path.strip_prefix(SERVICES) {
            return service(method, rest);
        }
        match (method.as_str(), path) {
            ("POST", "/v1/chat/completions") => Some(Self::Generate(Dialect::Chat)),
            ("POST", "/v1/completions") => Some(Self::Generate(Dialect::Completion)),
            ("GET", "/v1/models") => Some(Self::Models),
            ("GET", "/livez") => Some(Self::Live),
            ("GET", "/readyz") => Some(Self::Ready),
            ("GET", "/status") => Some(Self::Status),
            ("GET", "/explain") => Some(Self::Explain),
            ("GET", "/metrics") => Some(Self::Metrics),
            _ => None,
        }
    }
}

fn service(method: &Method, rest: &str) -> Option<Route> {
    let (name, call) = rest.split_once('/')?;
    if method != Method::POST || call.is_empty() {
        return None;
    }
    Some(Route::Service {
        name: name.parse().ok()?,
        method: call.to_owned(),
    })
}
