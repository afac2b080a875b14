//! Hash that detects different request bodies under one idempotency key.

use std::fmt::Write;

use sha2::Digest;
use sha2::Sha256;

crate::data! {
    /// The SHA-256 of a request body, in hexadecimal.
    pub struct BodyHash(String);
}

impl BodyHash {
    /// Hashes `body`.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        Self(hex(&Sha256::digest(body)))
    }
}

/// Formats bytes as hexadecimal.
pub(super) fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
