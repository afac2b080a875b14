//! Why the store refuses.

use hyper::StatusCode;
use jujubewind::wire::platform::GatewayError;

use crate::http::Reply;
use crate::http::json;

/// A result whose error is the store's refusal.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the store refuses.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is not what the route expects.
    #[error("the body is not valid: {0}; see the gateway's interface")]
    Body(#[from] serde_json::Error),
    /// A key or value is longer than the limit.
    #[error("etcdserver: request is too large: split the value")]
    TooLarge,
    /// No such lease.
    #[error("etcdserver: requested lease not found: grant a new one")]
    NoLease,
    /// A lease with this id exists.
    #[error("etcdserver: lease already exists: choose another id")]
    LeaseExists,
    /// A feature that this stand-in does not have.
    #[error("reads at an old revision are not served here: leave the revision out")]
    OldRevision,
    /// The rate is used up.
    #[error("etcdserver: too many requests: retry later")]
    TooMany,
    /// No such route.
    #[error("no such route: see the gateway's interface")]
    NoRoute,
}

impl Error {
    /// The answer to send.
    #[must_use]
    pub fn reply(&self) -> Reply {
        let (status, code) = match self {
            Self::Body(_) | Self::TooLarge => (StatusCode::BAD_REQUEST, 3),
            Self::NoLease | Self::NoRoute => (StatusCode::NOT_FOUND, 5),
            Self::LeaseExists => (StatusCode::CONFLICT, 6),
            Self::OldRevision => (StatusCode::NOT_IMPLEMENTED, 12),
            Self::TooMany => (StatusCode::TOO_MANY_REQUESTS, 8),
        };
        let error = GatewayError {
            error: Some(self.to_string()),
            code: Some(code),
            message: Some(self.to_string()),
        };
        json(status, &error)
    }
}
