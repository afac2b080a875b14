//! What can be wrong with a claim.

use super::Event;
use super::Phase;

/// A fault of a claim or its record.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The record in the store is not one of ours.
    #[error("claim record does not parse: {0}; look for another writer of the prefix `claims/`")]
    Unreadable(#[from] serde_json::Error),
    /// The chart has no such step.
    #[error("a claim that is {0} cannot {1}; see charts/claim.yaml")]
    BadStep(Phase, Event),
}

/// A result of handling a claim.
pub type Result<T> = std::result::Result<T, Error>;
