//! What a claimant wants done.

use super::Answer;
use super::Holder;
use super::SendPermit;
use crate::store::Op;
use crate::types::MonoTime;

/// An order to the task that drives a claimant; each is followed by one input, save the last two.
#[derive(Debug, PartialEq, Eq)]
pub enum Output {
    /// Make this call to the store.
    Store(Op),
    /// Look the holder up in the membership view.
    AskHolder(Holder),
    /// Send the call now, once.
    Dispatch(SendPermit),
    /// Come back with a tick at this time.
    Wait(MonoTime),
    /// Tell the caller; work on the claim may go on.
    Answer(Answer),
    /// Nothing more will come.
    End,
}
