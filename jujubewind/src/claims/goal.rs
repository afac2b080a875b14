//! The current goal of a claimant.

use super::Dispatched;
use super::HeldClaim;
use super::StoredAnswer;

/// What a claimant is currently trying to achieve.
#[derive(Debug)]
pub enum Goal {
    /// Create or take over the claim.
    Claim,
    /// Mark the claim as dispatched, which permits the send.
    MarkDispatched,
    /// Wait for the outcome of the send.
    AwaitOutcome(HeldClaim<Dispatched>),
    /// Store the outcome of the send; `None` if no answer came.
    StoreOutcome(HeldClaim<Dispatched>, Option<StoredAnswer>),
    /// Release the key.
    Release,
    /// Nothing; the call has ended.
    Done,
}
