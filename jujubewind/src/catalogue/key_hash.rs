//! How the catalogue knows a caller's key without holding it.

digest! {
    /// The SHA-256 digest of a caller's bearer key.
    pub struct KeyHash;
}
