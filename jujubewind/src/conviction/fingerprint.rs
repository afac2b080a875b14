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

    /// Computes the fingerprint of a request that consists of `parts` and of a body in `segments`, as if
    /// the body were the last part.
    #[must_use]
    pub fn of_body<'a>(parts: &[&[u8]], segments: impl Iterator<Item = &'a [u8]> + Clone) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hash_part(&mut hasher, part);
        }
        let length: usize = segments.clone().map(<[u8]>::len).sum();
        hasher.update((length as u64).to_le_bytes());
        for segment in segments {
            hasher.update(segment);
        }
        Self::from_hasher(hasher)
    }

    /// Computes the fingerprint of a request that consists of `parts`.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hash_part(&mut hasher, part);
        }
        Self::from_hasher(hasher)
    }

    fn from_hasher(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let high = digest.iter().take(size_of::<u128>());
        Self::from_number(high.fold(0, |number, byte| (number << 8) | u128::from(*byte)))
    }
}

fn hash_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}
