//! A claim as the store holds it.

use super::Body;
use super::BodyHash;
use super::Event;
use super::Holder;
use super::Limits;
use super::Phase;
use super::Result;
use crate::types::AttemptId;

crate::data! {
    /// A service's answer as it is kept.
    pub struct Kept {
        /// The HTTP status.
        pub status: u16,
        /// The body; `None` if it was longer than [`Limits::MAX_BODY`].
        pub body: Option<Body>,
    }

    /// The value of a claim's key.
    pub struct Record {
        /// The attempt that holds the claim; by it a lost answer of the store is settled.
        pub attempt: AttemptId,
        /// The entry that makes the attempt.
        pub holder: Holder,
        /// What the caller sent.
        pub body: BodyHash,
        /// How far the claim has come.
        pub phase: Phase,
        /// The answer, once there is one.
        pub kept: Option<Kept>,
    }
}

impl Kept {
    /// Keeps `status`, and `body` if it is not too long.
    #[must_use]
    pub fn new(status: u16, body: &[u8]) -> Self {
        let fits = body.len() <= Limits::MAX_BODY;
        Self {
            status,
            body: fits.then(|| Body(body.to_vec())),
        }
    }
}

impl Record {
    /// Reads the value of a claim's key.
    ///
    /// # Errors
    /// The value is no claim.
    pub fn decode(value: &[u8]) -> Result<Self> {
        Ok(serde_json::from_slice(value)?)
    }

    /// The value for the store.
    ///
    /// # Panics
    /// Never: a record has only text, numbers and lists.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is plain data")
    }

    /// The record after `event`.
    ///
    /// # Errors
    /// The chart has no such step.
    pub fn after(&self, event: Event) -> Result<Self> {
        let phase = self.phase.after(event)?;
        Ok(Self {
            phase,
            ..self.clone()
        })
    }
}
