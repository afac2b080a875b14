//! The account of what a process holds for its callers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::Charge;
use super::Purpose;
use crate::types::Bytes;

/// A limit on the memory that all requests and responses hold together, which is never exceeded.
#[derive(Debug)]
pub struct Account {
    limit: usize,
    used: AtomicUsize,
}

impl Account {
    /// Creates an account of `limit`.
    #[must_use]
    pub fn new(limit: Bytes) -> Arc<Self> {
        Arc::new(Self {
            limit: usize::try_from(limit.get()).unwrap_or(usize::MAX),
            used: AtomicUsize::new(0),
        })
    }

    /// The bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Begins a charge of nothing.
    #[must_use]
    pub fn open(self: &Arc<Self>, purpose: Purpose) -> Charge {
        Charge::new(self.clone(), purpose)
    }

    /// The use up to which a holding may grow to `own` bytes.
    pub(super) const fn ceiling(&self, purpose: Purpose, own: usize) -> usize {
        purpose.ceiling(self.limit, own)
    }

    /// Adds `grown` bytes to a charge that then has `own`; returns whether there was room.
    pub(super) fn take(&self, purpose: Purpose, grown: usize, own: usize) -> bool {
        let ceiling = self.ceiling(purpose, own);
        let add = |used: usize| Some(used.checked_add(grown)?).filter(|sum| *sum <= ceiling);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.is_ok()
    }

    pub(super) fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}
