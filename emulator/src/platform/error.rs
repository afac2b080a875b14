//! Errors of the key-value store and their gateway responses.

use hyper::StatusCode;
use jujubewind::wire::platform::GatewayError;

use crate::http::Reply;
use crate::http::json;

/// Result of a store operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why the store rejects a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request body does not match the route.
    #[error("the body is not valid: {0}; see the gateway's interface")]
    Body(#[from] serde_json::Error),
    /// A key or value is longer than the limit.
    #[error("etcdserver: request is too large: split the value")]
    TooLarge,
    /// The lease does not exist.
    #[error("etcdserver: requested lease not found: grant a new one")]
    NoLease,
    /// A lease with the requested id already exists.
    #[error("etcdserver: lease already exists: choose another id")]
    LeaseExists,
    /// Reads at an old revision are not supported by the emulator.
    #[error("reads at an old revision are not served here: leave the revision out")]
    OldRevision,
    /// The rate limit is exceeded.
    #[error("etcdserver: too many requests: retry later")]
    TooMany,
    /// The route does not exist.
    #[error("no such route: see the gateway's interface")]
    NoRoute,
}

impl Error {
    /// The HTTP response for this error, in the gateway's format.
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
