//! Outcomes of store calls.

use super::Entry;
use super::LeaseId;
use super::Version;
use crate::types::Millis;

crate::label! {
    /// Why a call certainly had no effect.
    pub enum Cause {
        /// The store's rate limit was exceeded.
        RateLimited = "rate_limited",
        /// No connection was established, so nothing was sent.
        NotConnected = "not_connected",
        /// The store rejected the call as invalid.
        Rejected = "rejected",
    }
}

/// The answer to an [`super::Op`], or what is known if there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The result of reading one key.
    Found(Option<Entry>),
    /// The result of reading a prefix.
    Listed(Vec<Entry>),
    /// The write took effect.
    Applied(Version),
    /// The key had a different version; the write had no effect.
    Conflict(Option<Entry>),
    /// A key of a commit had a different version, so none was written. Has one entry per write.
    Conflicts(Vec<Option<Entry>>),
    /// The lease that was granted or renewed, and its length.
    Leased(LeaseId, Millis),
    /// The call had no effect and cannot take effect later.
    NotApplied(Cause),
    /// The call was sent but not answered: it may have taken effect or may still do so.
    Unknown,
}
