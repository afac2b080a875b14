//! Content addresses of stored catalogue texts.

digest! {
    /// SHA-256 digest of an encoded page or part, used as its content address.
    pub struct ContentHash;
}

impl ContentHash {
    /// The first byte, which is uniformly distributed.
    pub(super) const fn first(self) -> u8 {
        self.0[0]
    }
}
