//! A range of keys, as requests name it.

use std::ops::Bound;

use jujubewind::wire::Base64;

/// A range end that means no end.
const NO_END: &[u8] = &[0];

/// A range of keys: one key, or all from one to before another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyRange {
    from: Vec<u8>,
    to: Bound<Vec<u8>>,
}

impl KeyRange {
    /// The range that a request names by its key and range end.
    pub(crate) fn new(key: &Base64, range_end: Option<&Base64>) -> Self {
        let from = key.0.clone();
        let to = match range_end.map(Base64::as_bytes) {
            None | Some([]) => Bound::Included(from.clone()),
            Some(NO_END) => Bound::Unbounded,
            Some(end) => Bound::Excluded(end.to_vec()),
        };
        Self { from, to }
    }

    /// Whether `key` lies in the range.
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        let is_before_end = match &self.to {
            Bound::Included(end) => key <= end.as_slice(),
            Bound::Excluded(end) => key < end.as_slice(),
            Bound::Unbounded => true,
        };
        key >= self.from.as_slice() && is_before_end
    }

    /// The first key of the range.
    pub(crate) fn from(&self) -> &[u8] {
        &self.from
    }
}
