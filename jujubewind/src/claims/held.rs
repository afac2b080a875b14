//! A claim in the hands of its holder, with its phase in its type.

use std::marker::PhantomData;

use super::Event;
use super::Kept;
use super::Record;
use super::SendPermit;
use crate::store::Key;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Version;
use crate::store::Write;
use crate::types::AttemptId;

/// Phase: the key is ours and nothing was sent.
#[derive(Debug)]
pub struct Claimed;

/// Phase: the store says that we may have sent.
#[derive(Debug)]
pub struct Dispatched;

/// A claim that the store is known to have held for us at `version`.
#[derive(Debug)]
pub struct Held<P> {
    key: Key,
    record: Record,
    version: Version,
    lease: LeaseId,
    phase: PhantomData<P>,
}

impl<P> Held<P> {
    /// Deletes the claim, so that the key can be used again.
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

impl Held<Claimed> {
    pub(super) fn new(key: Key, record: Record, version: Version, lease: LeaseId) -> Self {
        Self {
            key,
            record,
            version,
            lease,
            phase: PhantomData,
        }
    }

    /// Marks the claim as dispatched; it fails if anyone took the claim over.
    #[must_use]
    pub fn mark(&self) -> Op {
        self.swap(Some(&self.after(Event::Mark)))
    }

    /// The same claim once the store has the mark at `version`, with the right to send.
    pub(super) fn dispatched(self, version: Version) -> (Held<Dispatched>, SendPermit) {
        let permit = SendPermit::new(self.attempt());
        let held = Held {
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

impl Held<Dispatched> {
    /// Ends the claim with the service's answer, or with `None` if there is none.
    #[must_use]
    pub fn finish(&self, kept: Option<&Kept>) -> Op {
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
