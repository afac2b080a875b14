//! An answer that ends early.

/// The answer could not be completed; its connection is closed so that it does not look whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer was cut; send the request again if it may run twice")]
pub struct TruncatedBody;
