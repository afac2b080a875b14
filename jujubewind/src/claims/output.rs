//! Outputs of a claimant.

use super::Answer;
use super::Holder;
use super::SendPermit;
use crate::store::Op;
use crate::types::MonoTime;

/// A command to the task that drives a claimant. Each is followed by one input, except
/// [`Output::Answer`] and [`Output::End`].
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Execute this store operation.
    Store(Op),
    /// Look the holder up in the membership view.
    AskHolder(Holder),
    /// Send the call once.
    Dispatch(SendPermit),
    /// Return with [`super::Input::Tick`] at this time.
    Wait(MonoTime),
    /// Answer the caller; work on the claim may continue.
    Answer(Answer),
    /// The state machine has ended.
    End,
}
