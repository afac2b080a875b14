//! Key-value entries of the store.

use super::Key;
use super::Version;

/// A stored key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Vec<u8>,
    /// The store revision of its last write, which compare-and-swap checks.
    pub version: Version,
}
