//! One draw or return of credit that is under way.

use super::Account;
use super::account::Change;
use crate::store::Entry;
use crate::store::Key;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Version;
use crate::store::Write;
use crate::types::ChangeId;
use crate::types::Credit;

crate::label! {
    /// Which way credit moves.
    pub enum Direction {
        /// From the store to this process.
        Draw = "draw",
        /// From this process to the store.
        Return = "return",
    }
}

/// What is known of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect.
    Made,
    /// It did not and never will.
    Failed,
    /// It did not yet; the same write may be sent again.
    Open,
    /// Nobody can tell any more; the credit counts as spent.
    Lost,
}

/// A change of the account at one version; the same write may be sent any number of times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Which way.
    pub direction: Direction,
    /// How much.
    pub amount: Credit,
    change: ChangeId,
    before: Account,
    version: Version,
    /// Whether a send of it went without an answer.
    doubted: bool,
}

impl Transfer {
    /// Plans to move `amount` on an account that the store holds at `version`.
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
            doubted: false,
        }
    }

    /// Notes that the write was sent and its answer lost.
    pub const fn doubt(&mut self) {
        self.doubted = true;
    }

    /// The account once the transfer took effect.
    #[must_use]
    pub fn result(&self) -> Account {
        let drawn = match self.direction {
            Direction::Draw => self.before.drawn.saturating_add(self.amount),
            Direction::Return => self.before.drawn.saturating_sub(self.amount),
        };
        self.before.after(self.change, drawn)
    }

    /// The write that makes it.
    #[must_use]
    pub fn op(&self, key: Key, lease: LeaseId) -> Op {
        Op::CompareAndSwap(Write {
            key,
            expect: self.version,
            value: Some(self.result().encode()),
            lease: Some(lease),
        })
    }

    /// What `current`, read after the write was sent, tells about it.
    #[must_use]
    pub fn verdict(&self, current: Option<&Entry>) -> Verdict {
        if current.map_or(Version::ABSENT, |entry| entry.version) == self.version {
            return Verdict::Open;
        }
        if !self.doubted {
            return Verdict::Failed;
        }
        let Some(account) = current.and_then(|entry| Account::decode(&entry.value)) else {
            return Verdict::Lost;
        };
        match account.tells(self.change, self.before.count) {
            Change::Made => Verdict::Made,
            Change::Missing => Verdict::Failed,
            Change::Forgotten => Verdict::Lost,
        }
    }
}
