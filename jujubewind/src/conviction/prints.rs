//! The fingerprints of a request and of the parts of its prompt.

use std::rc::Rc;

use super::Fingerprint;

/// What a crash may be attributed to: the request as a whole, or a part of its prompt that other
/// requests share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prints {
    /// The fingerprint of the whole request.
    pub request: Fingerprint,
    /// Those of the parts that other requests may share.
    pub parts: Rc<[Fingerprint]>,
}

impl Prints {
    /// The fingerprints of the request and of its parts.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.parts.iter().copied();
        parts.chain([self.request])
    }
}

impl From<Fingerprint> for Prints {
    /// A request without parts.
    fn from(request: Fingerprint) -> Self {
        Self {
            request,
            parts: Rc::new([]),
        }
    }
}
