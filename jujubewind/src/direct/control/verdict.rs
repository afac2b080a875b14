//! The reply to a placement request.

use crate::direct::Placement;
use crate::refusal::Refusal;

/// Where a request goes, or why it is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent there now.
    Place(Placement),
    /// It is refused.
    Refuse(Refusal),
}
