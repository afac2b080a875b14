//! The address of a stored text.

digest! {
    /// The SHA-256 digest of a page's or part's stored text, under which it is kept.
    pub struct ContentHash;
}

impl ContentHash {
    /// The first byte, for even spreading.
    pub(super) const fn first(self) -> u8 {
        self.0[0]
    }
}
