//! Errors of claims.

use super::Event;
use super::Phase;

/// An invalid claim record or phase transition.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The record in the store does not parse.
    #[error("claim record does not parse: {0}; look for another writer of the prefix `claims/`")]
    Unreadable(#[from] serde_json::Error),
    /// The state chart has no such transition.
    #[error("a claim that is {0} cannot {1}; see charts/claim.yaml")]
    BadStep(Phase, Event),
}

/// The result of handling a claim.
pub type Result<T> = std::result::Result<T, Error>;
