//! A claim held by this process, with its phase encoded in its type.

use std::marker::PhantomData;

use super::Event;
use super::Record;
use super::SendPermit;
use super::StoredAnswer;
use crate::store::Key;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Version;
use crate::store::Write;
use crate::types::AttemptId;

/// Phase: the key is claimed and nothing was sent.
#[derive(Debug)]
pub struct Claimed;

/// Phase: the store records that the call may have been sent.
#[derive(Debug)]
pub struct Dispatched;

/// A claim that the store held for this process at `version`.
#[derive(Debug)]
pub struct HeldClaim<P> {
    key: Key,
    record: Record,
    version: Version,
    lease: LeaseId,
    phase: PhantomData<P>,
}

impl<P> HeldClaim<P> {
    /// Returns the operation that deletes the claim, so that the key can be reused.
    #[must_use]
    pub fn release(&self) -> Op {
        self.swap(None)
    }

    pub(super) const fn version(&self) -> Version {
        self.version
    }

    fn swap(&self, record: Option<&Record>) -> Op {
        Op::CompareAndSwap(Write {
            key: self.key.clone(),
            expect: self.version,
            value: record.map(Record::encode),
            lease: record.map(|_| self.lease),
        })
    }

    fn after(&self, event: Event) -> Record {
        self.record
            .after(event)
            .unwrap_or_else(|_| self.record.clone())
    }
}

impl HeldClaim<Claimed> {
    pub(super) fn new(key: Key, record: Record, version: Version, lease: LeaseId) -> Self {
        Self {
            key,
            record,
            version,
            lease,
            phase: PhantomData,
        }
    }

    /// Returns the operation that marks the claim as dispatched; it fails if the claim was taken
    /// over.
    #[must_use]
    pub fn mark(&self) -> Op {
        self.swap(Some(&self.after(Event::Mark)))
    }

    /// Converts the claim after the store confirmed the mark at `version`, and issues the send
    /// permit.
    pub(super) fn dispatched(self, version: Version) -> (HeldClaim<Dispatched>, SendPermit) {
        let permit = SendPermit::new(self.attempt());
        let held = HeldClaim {
            record: self.after(Event::Mark),
            key: self.key,
            version,
            lease: self.lease,
            phase: PhantomData,
        };
        (held, permit)
    }

    fn attempt(&self) -> AttemptId {
        self.record.attempt
    }
}

impl HeldClaim<Dispatched> {
    /// Returns the operation that ends the claim with the service's answer, or with `None` if no
    /// answer came.
    #[must_use]
    pub fn finish(&self, kept: Option<&StoredAnswer>) -> Op {
        let event = if kept.is_some() {
            Event::Answer
        } else {
            Event::Doubt
        };
        let record = Record {
            kept: kept.cloned(),
            ..self.after(event)
        };
        self.swap(Some(&record))
    }
}
