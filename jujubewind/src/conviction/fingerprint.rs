//! Fingerprints that recognise a repeated request.

use sha2::Digest;
use sha2::Sha256;

use crate::types::ModelId;
use crate::types::OrgId;

crate::random_id! {
    /// A cryptographic digest of organisation, model and prompt, so that nobody can craft another
    /// prompt with the same fingerprint.
    pub struct Fingerprint;
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(org: &OrgId, model: &ModelId, prompt: &str) -> Self {
        Self::of_parts(&[
            org.as_str().as_bytes(),
            model.as_str().as_bytes(),
            prompt.as_bytes(),
        ])
    }

    /// Computes the fingerprint of a request that consists of `parts`.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let high = digest.iter().take(size_of::<u128>());
        Self::from_number(high.fold(0, |number, byte| (number << 8) | u128::from(*byte)))
    }
}
