//! The stored form of a claim.

use super::Body;
use super::BodyHash;
use super::Event;
use super::Holder;
use super::Limits;
use super::Phase;
use super::Result;
use crate::types::AttemptId;

crate::data! {
    /// A service's answer as stored for replays.
    pub struct StoredAnswer {
        /// The HTTP status.
        pub status: u16,
        /// The body; `None` if it was longer than [`Limits::MAX_BODY_BYTES`].
        pub body: Option<Body>,
    }

    /// The value of a claim's key.
    pub struct Record {
        /// The attempt that holds the claim; it shows whether a write whose answer was lost took
        /// effect.
        pub attempt: AttemptId,
        /// The entry that makes the attempt.
        pub holder: Holder,
        /// The hash of the request body.
        pub body: BodyHash,
        /// The phase of the claim.
        pub phase: Phase,
        /// The answer, once there is one.
        pub kept: Option<StoredAnswer>,
    }
}

impl StoredAnswer {
    /// Creates a stored answer with `status`, and with `body` unless it is too long.
    #[must_use]
    pub fn new(status: u16, body: &[u8]) -> Self {
        let fits = body.len() <= Limits::MAX_BODY_BYTES;
        Self {
            status,
            body: fits.then(|| Body(body.to_vec())),
        }
    }
}

impl Record {
    /// Parses the value of a claim's key.
    ///
    /// # Errors
    /// Fails if the value is not a claim.
    pub fn decode(value: &[u8]) -> Result<Self> {
        Ok(serde_json::from_slice(value)?)
    }

    /// Serializes the record for the store.
    ///
    /// # Panics
    /// Never panics: a record has only text, numbers and lists.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is plain data")
    }

    /// Returns the record after `event`.
    ///
    /// # Errors
    /// Fails if the state chart has no such transition.
    pub fn after(&self, event: Event) -> Result<Self> {
        let phase = self.phase.after(event)?;
        Ok(Self {
            phase,
            ..self.clone()
        })
    }
}
