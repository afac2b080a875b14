//! A draw or return of credit.

use super::Account;
use super::account::ChangeStatus;
use crate::store::Entry;
use crate::store::Key;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Version;
use crate::store::Write;
use crate::types::ChangeId;
use crate::types::Credit;

crate::label! {
    /// The direction of a transfer.
    pub enum Direction {
        /// From the store to this process.
        Draw = "draw",
        /// From this process to the store.
        Return = "return",
    }
}

/// Whether a transfer took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferStatus {
    /// It took effect.
    Applied,
    /// It did not take effect and never will.
    NotApplied,
    /// It has not taken effect yet; the same write may be retried.
    Pending,
    /// It can no longer be determined; the credit counts as spent.
    Unknown,
}

/// A change of the account at one version; the same write may be retried any number of times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The direction.
    pub direction: Direction,
    /// The amount.
    pub amount: Credit,
    change: ChangeId,
    before: Account,
    version: Version,
    /// Whether a write of it was not answered.
    unanswered: bool,
}

impl Transfer {
    /// Creates a transfer of `amount` against the account `before` at `version`.
    #[must_use]
    pub const fn new(
        direction: Direction,
        amount: Credit,
        change: ChangeId,
        before: Account,
        version: Version,
    ) -> Self {
        Self {
            direction,
            amount,
            change,
            before,
            version,
            unanswered: false,
        }
    }

    /// Records that the write was sent and its answer lost.
    pub const fn mark_unanswered(&mut self) {
        self.unanswered = true;
    }

    /// Returns the account after the transfer.
    #[must_use]
    pub fn result(&self) -> Account {
        let drawn = match self.direction {
            Direction::Draw => self.before.drawn.saturating_add(self.amount),
            Direction::Return => self.before.drawn.saturating_sub(self.amount),
        };
        self.before.after(self.change, drawn)
    }

    /// Returns the write that applies the transfer.
    #[must_use]
    pub fn op(&self, key: Key, lease: LeaseId) -> Op {
        Op::CompareAndSwap(Write {
            key,
            expect: self.version,
            value: Some(self.result().encode()),
            lease: Some(lease),
        })
    }

    /// Derives the status of the transfer from `current`, read after the write was sent.
    #[must_use]
    pub fn status(&self, current: Option<&Entry>) -> TransferStatus {
        if current.map_or(Version::ABSENT, |entry| entry.version) == self.version {
            return TransferStatus::Pending;
        }
        if !self.unanswered {
            return TransferStatus::NotApplied;
        }
        let Some(account) = current.and_then(|entry| Account::decode(&entry.value)) else {
            return TransferStatus::Unknown;
        };
        match account.change_status(self.change, self.before.count) {
            ChangeStatus::Applied => TransferStatus::Applied,
            ChangeStatus::NotApplied => TransferStatus::NotApplied,
            ChangeStatus::Unknown => TransferStatus::Unknown,
        }
    }
}
