//! The routes of the callers' interface.

use hyper::Method;

use super::dialect::Dialect;
use crate::types::ModelId;

/// What a request line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// An answer of a model.
    Generate(Dialect),
    /// A call to a plain service.
    Service {
        /// The service's name in the catalogue.
        name: ModelId,
        /// The path below it.
        method: String,
    },
    /// The names that the caller may use.
    Models,
    /// Whether the process lives.
    Live,
    /// Whether the balancer should send callers.
    Ready,
    /// How the entry stands.
    Status,
    /// Where a request would go.
    Explain,
    /// The metrics.
    Metrics,
}

/// The prefix of calls to plain services.
const SERVICES: &str = "/v1/services/";

impl Route {
    /// Reads a request line; `None` if no route has it.
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
