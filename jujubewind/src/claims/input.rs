//! What a claimant hears.

use super::DispatchOutcome;
use crate::store::Outcome;

/// An event in the life of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The call begins.
    Begin,
    /// The answer to the last store operation.
    Store(Outcome),
    /// Whether the holder that was asked about still lives.
    Holder {
        /// True if membership knows this incarnation and does not count it as dead.
        alive: bool,
    },
    /// What became of the send.
    Dispatch(DispatchOutcome),
    /// The time that was waited for has come.
    Tick,
    /// The caller went away or the entry stops.
    Cancel,
}
