//! Inputs of a claimant.

use super::DispatchOutcome;
use crate::store::Outcome;

/// An event for the state machine of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The call begins.
    Begin,
    /// The answer to the last store operation.
    Store(Outcome),
    /// Whether the queried holder is alive.
    Holder {
        /// True if the membership view has this incarnation and it is not dead.
        alive: bool,
    },
    /// The outcome of the send.
    Dispatch(DispatchOutcome),
    /// The requested wait has elapsed.
    Tick,
    /// The caller disconnected or the entry is stopping.
    Cancel,
}
