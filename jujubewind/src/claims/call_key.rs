//! Identity of a call by its idempotency key.

use sha2::Digest;
use sha2::Sha256;

use super::body_hash::hex;
use crate::store::Key;
use crate::types::ModelId;
use crate::types::OrgId;

/// Store topic of claims.
const TOPIC: &str = "claims";

/// A caller's idempotency key with the scope in which it is unique.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallKey {
    /// The organisation that calls.
    pub org: OrgId,
    /// The service.
    pub service: ModelId,
    /// The method.
    pub method: String,
    /// The caller's idempotency key.
    pub key: String,
}

impl CallKey {
    /// Returns the store key of the claim: a hash, since callers' keys have arbitrary length and
    /// content.
    #[must_use]
    pub fn store_key(&self) -> Key {
        let mut hash = Sha256::new();
        // The length before each part keeps different keys from hashing the same bytes.
        for part in [
            self.org.as_str(),
            self.service.as_str(),
            &self.method,
            &self.key,
        ] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Key::new(TOPIC, &hex(&hash.finalize()))
    }
}
