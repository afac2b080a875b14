//! Store operations.

use super::Key;
use super::LeaseId;
use super::Version;
use crate::types::Millis;

/// A conditional write of one key: it takes effect only if the key still has the version `expect`.
///
/// Versions are never reused, so a delayed write cannot overwrite a newer value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Key,
    /// The version that the key must have; [`Version::ABSENT`] if it must not exist.
    pub expect: Version,
    /// The new value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// The lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads a key.
    Get(Key),
    /// Reads all keys with this prefix.
    List(String),
    /// Writes a key unconditionally.
    Put {
        /// The key.
        key: Key,
        /// The new value.
        value: Vec<u8>,
        /// The lease that the key is attached to.
        lease: Option<LeaseId>,
    },
    /// Writes or deletes a key if it has the expected version.
    CompareAndSwap(Write),
    /// Makes all writes, or none if any version differs.
    Commit(Vec<Write>),
    /// Deletes a key unconditionally.
    Delete(Key),
    /// Grants a lease of this length.
    GrantLease(Millis),
    /// Renews a lease.
    KeepAlive(LeaseId),
}

impl Op {
    /// Whether the operation can change the store, so that its effect is unknown without an answer.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        !matches!(self, Self::Get(_) | Self::List(_))
    }
}
