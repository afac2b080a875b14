//! What makes two requests the same one, sent again.

use sha2::Digest;
use sha2::Sha256;

use crate::types::ModelId;
use crate::types::OrgId;

crate::random_id! {
    /// A digest of organisation, model and prompt; nobody can find another prompt that has it.
    pub struct Fingerprint;
}

impl Fingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(org: &OrgId, model: &ModelId, prompt: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [org.as_str(), model.as_str(), prompt] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let digest = hasher.finalize();
        let high = digest.iter().take(size_of::<u128>());
        Self::from_number(high.fold(0, |number, byte| (number << 8) | u128::from(*byte)))
    }
}
