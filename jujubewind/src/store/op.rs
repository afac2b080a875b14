//! What we ask of the store.

use super::Key;
use super::LeaseId;
use super::Version;
use crate::types::Millis;

/// A conditional write of one key: it takes effect only if the key still has the version `expect`.
///
/// Versions never come again, so a write that arrives late can never land on a newer value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Key,
    /// The version that the key must have; [`Version::ABSENT`] if it must not exist.
    pub expect: Version,
    /// The new value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// The lease with which the key ends.
    pub lease: Option<LeaseId>,
}

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads a key.
    Get(Key),
    /// Reads all keys that begin with this text.
    List(String),
    /// Writes a key whatever it holds.
    Put {
        /// The key.
        key: Key,
        /// The new value.
        value: Vec<u8>,
        /// The lease with which the key ends.
        lease: Option<LeaseId>,
    },
    /// Writes or deletes a key if it has the expected version.
    CompareAndSwap(Write),
    /// Makes all the writes or, if any version differs, none.
    Commit(Vec<Write>),
    /// Deletes a key whatever it holds.
    Delete(Key),
    /// Asks for a lease of this length.
    GrantLease(Millis),
    /// Renews a lease.
    KeepAlive(LeaseId),
}

impl Op {
    /// Whether the call could change the store, so that a lost answer leaves doubt.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        !matches!(self, Self::Get(_) | Self::List(_))
    }
}
