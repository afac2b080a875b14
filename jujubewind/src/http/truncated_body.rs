//! The error of a truncated response body.

/// The response could not be completed. Its connection is aborted, so that the caller can tell it
/// from a complete one.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response was truncated; send the request again if it may run twice")]
pub struct TruncatedBody;
