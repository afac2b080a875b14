//! The claim of one call before it is stored.

use super::BodyHash;
use super::CallKey;
use super::Claimed;
use super::Event;
use super::HeldClaim;
use super::Holder;
use super::Phase;
use super::Record;
use crate::store::Entry;
use crate::store::Key;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Version;
use crate::store::Write;
use crate::types::AttemptId;

/// The claim of a call before the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    key: Key,
    record: Record,
    lease: LeaseId,
}

impl Draft {
    /// Creates the claim of `attempt` on `call`, which expires with `lease`.
    #[must_use]
    pub fn new(
        call: &CallKey,
        body: BodyHash,
        attempt: AttemptId,
        holder: Holder,
        lease: LeaseId,
    ) -> Self {
        Self {
            key: call.store_key(),
            record: Record {
                attempt,
                holder,
                body,
                phase: Phase::Claimed,
                kept: None,
            },
            lease,
        }
    }

    /// Whether `entry` has the key of this claim.
    pub(super) fn is_at(&self, entry: &Entry) -> bool {
        entry.key == self.key
    }

    /// Whether `other` is a claim of this attempt.
    pub(super) fn is_ours(&self, other: &Record) -> bool {
        other.attempt == self.record.attempt
    }

    /// Whether `other` was created for the same request body.
    pub(super) fn has_same_body(&self, other: &Record) -> bool {
        other.body == self.record.body
    }

    /// Returns the operation that reads the key.
    pub(super) fn read(&self) -> Op {
        Op::Get(self.key.clone())
    }

    /// Returns the operation that claims the key if it is free.
    pub(super) fn create(&self) -> Op {
        self.write(Version::ABSENT, Phase::initial(), Event::Create)
    }

    /// Returns the operation that takes the key from a holder that sent nothing.
    pub(super) fn take_over(&self, version: Version) -> Op {
        self.write(version, Phase::Claimed, Event::TakeOver)
    }

    /// Returns the claim as held in the store at `version`.
    pub(super) fn held(&self, version: Version) -> HeldClaim<Claimed> {
        HeldClaim::new(self.key.clone(), self.record.clone(), version, self.lease)
    }

    fn write(&self, expect: Version, before: Phase, event: Event) -> Op {
        let phase = before.after(event).unwrap_or(self.record.phase);
        let record = Record {
            phase,
            ..self.record.clone()
        };
        Op::CompareAndSwap(Write {
            key: self.key.clone(),
            expect,
            value: Some(record.encode()),
            lease: Some(self.lease),
        })
    }
}
