//! What became of a call to the store.

use super::Entry;
use super::LeaseId;
use super::Version;
use crate::types::Millis;

crate::label! {
    /// Why a call certainly had no effect.
    pub enum Cause {
        /// The store refused for its rate limit.
        RateLimited = "rate_limited",
        /// No connection came about, so nothing was sent.
        NotConnected = "not_connected",
        /// The store refused the call as it stands.
        Rejected = "rejected",
    }
}

/// The answer to an [`super::Op`], or what is known without one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer to a read of one key.
    Found(Option<Entry>),
    /// The answer to a read of a prefix.
    Listed(Vec<Entry>),
    /// The write took effect.
    Applied(Version),
    /// The key had another version; the write had no effect.
    Conflict(Option<Entry>),
    /// A key of a commit had another version; none was written. One state for each write.
    Conflicts(Vec<Option<Entry>>),
    /// The lease that was granted or renewed, with its length.
    Leased(LeaseId, Millis),
    /// The call had no effect and never will.
    NotApplied(Cause),
    /// The call was sent and its answer is missing: it may have taken effect, or may yet.
    Unknown,
}
