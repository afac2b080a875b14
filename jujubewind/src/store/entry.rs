//! One key with its value.

use super::Key;
use super::Version;

/// A key as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last write, by which a swap is made conditional.
    pub version: Version,
}
