//! What a claimant is after.

use super::Dispatched;
use super::Held;
use super::Kept;

/// The stages of a claimant's work.
#[derive(Debug)]
pub enum Goal {
    /// The claim.
    Claim,
    /// The mark that allows the send.
    Mark,
    /// The outcome of the send.
    Sent(Held<Dispatched>),
    /// A record of how the send ended; `None` if no answer came.
    Keep(Held<Dispatched>, Option<Kept>),
    /// The key let go.
    Free,
    /// Nothing.
    Over,
}
