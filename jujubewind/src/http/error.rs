//! What can go wrong while a request arrives.

use crate::types::Bytes;
use crate::types::Millis;

/// A request that did not arrive whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than allowed.
    #[error("the body is longer than {0}; send a shorter one")]
    TooLarge(Bytes),
    /// The body came too slowly.
    #[error("the body did not arrive within {0}; send it faster")]
    TooSlow(Millis),
    /// The connection ended before the body did.
    #[error("the body broke off: {0}; send the request again")]
    BrokenOff(hyper::Error),
}

/// A result of receiving a request.
pub type Result<T> = std::result::Result<T, Error>;
