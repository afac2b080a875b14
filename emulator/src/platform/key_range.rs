//! Key ranges in requests.

use std::ops::Bound;

use jujubewind::wire::Base64;

/// Range end that stands for an unbounded range.
const NO_END: &[u8] = &[0];

/// A single key, or a half-open range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeyRange {
    start: Vec<u8>,
    end: Bound<Vec<u8>>,
}

impl KeyRange {
    /// Builds the range from a request's key and range end.
    pub(crate) fn new(key: &Base64, range_end: Option<&Base64>) -> Self {
        let start = key.0.clone();
        let end = match range_end.map(Base64::as_bytes) {
            None | Some([]) => Bound::Included(start.clone()),
            Some(NO_END) => Bound::Unbounded,
            Some(end) => Bound::Excluded(end.to_vec()),
        };
        Self { start, end }
    }

    /// Whether the range contains `key`.
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        let is_before_end = match &self.end {
            Bound::Included(end) => key <= end.as_slice(),
            Bound::Excluded(end) => key < end.as_slice(),
            Bound::Unbounded => true,
        };
        key >= self.start.as_slice() && is_before_end
    }

    /// Inclusive lower bound of the range.
    pub(crate) fn start(&self) -> &[u8] {
        &self.start
    }
}
