//! Hashes of API keys, stored in the catalogue instead of the keys.

digest! {
    /// The SHA-256 digest of a caller's bearer key.
    pub struct KeyHash;
}
