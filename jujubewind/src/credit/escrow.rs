//! One process's share of one catalogue entry's credit.

use rand::Rng;

use super::Account;
use super::Direction;
use super::Interval;
use super::IntervalId;
use super::Transfer;
use super::Verdict;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::store::Entry;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Outcome;
use crate::store::Version;
use crate::types::ChangeId;
use crate::types::Credit;
use crate::types::Millis;
use crate::types::MonoTime;

/// A slice is this part of what is left, so that slices shrink as the limit comes near.
const SLICES: u64 = 32;

/// The smallest slice is this part of the limit, so that the last of it costs few draws.
const SMALLEST: u64 = 1_024;

/// How long credit lies unspent before it is returned for others to draw.
const IDLE: Millis = Millis(10_000);

/// The pause after the store failed.
const PAUSE: Millis = Millis(500);

/// How long an account that had too little left is believed.
const RECHECK: Millis = Millis(2_000);

/// Why credit cannot be spent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// A draw is under way: ask again once the store has answered.
    Drawing,
    /// There is none.
    Refused(Refusal),
}

/// Whether a call to the store is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Calling {
    /// None is.
    No,
    /// One is.
    Yes,
    /// One is, for an interval that has ended.
    Outdated,
}

/// Draws slices of credit, spends them without the store, returns what is left.
///
/// [`Escrow::poll`] gives the next call to the store, [`Escrow::settle`] takes its outcome; one call
/// is under way at a time.
#[derive(Debug)]
pub struct Escrow {
    interval: Interval,
    balance: Credit,
    wanted: Credit,
    /// The account as last seen.
    seen: Option<(Account, Version)>,
    transfer: Option<Transfer>,
    /// Whether the transfer must be settled by reading before it goes again.
    doubt: bool,
    calling: Calling,
    blocked: MonoTime,
    touched: MonoTime,
    stopping: bool,
}

impl Escrow {
    /// Begins with nothing drawn.
    #[must_use]
    pub const fn new(interval: Interval) -> Self {
        Self {
            interval,
            balance: Credit::ZERO,
            wanted: Credit::ZERO,
            seen: None,
            transfer: None,
            doubt: false,
            calling: Calling::No,
            blocked: MonoTime::ZERO,
            touched: MonoTime::ZERO,
            stopping: false,
        }
    }

    /// What is drawn and not spent.
    #[must_use]
    pub const fn balance(&self) -> Credit {
        self.balance
    }

    /// Spends `need`, which must be the most that the work can cost.
    ///
    /// # Errors
    /// Too little is drawn: a draw is under way, or none can be made now.
    pub fn spend(&mut self, now: MonoTime, need: Credit) -> Result<(), Shortage> {
        self.touched = now;
        if need <= self.balance {
            self.balance = self.balance.saturating_sub(need);
            return Ok(());
        }
        if self.stopping || need > self.interval.limit {
            return Err(self.refusal(now, self.interval.ends));
        }
        if now < self.blocked {
            return Err(self.refusal(now, self.blocked));
        }
        self.wanted = self.wanted.max(need);
        Err(Shortage::Drawing)
    }

    /// Takes back what a piece of work did not use, if its interval still runs.
    pub fn refund(&mut self, id: IntervalId, unused: Credit) {
        if id == self.interval.id {
            self.balance = self.balance.saturating_add(unused);
        }
    }

    /// Goes over to the next interval, or to another limit; credit of an ended interval is void.
    pub fn renew(&mut self, interval: Interval) {
        if interval.id == self.interval.id {
            self.interval = interval;
            return;
        }
        let (calling, stopping) = (self.calling, self.stopping);
        *self = Self::new(interval);
        if calling != Calling::No {
            self.calling = Calling::Outdated;
        }
        self.stopping = stopping;
    }

    /// Draws no more, and returns what is left.
    pub const fn stop(&mut self) {
        self.stopping = true;
        self.wanted = Credit::ZERO;
    }

    /// The next call to the store, if one is due.
    pub fn poll(&mut self, now: MonoTime, lease: LeaseId, rng: &mut impl Rng) -> Option<Op> {
        if self.calling != Calling::No || now < self.blocked {
            return None;
        }
        if self.transfer.is_none() {
            self.plan(now, rng);
        }
        let reading = self.doubt || (self.seen.is_none() && self.is_due(now));
        let op = match &self.transfer {
            _ if reading => Some(Op::Get(self.interval.store_key())),
            Some(transfer) => Some(transfer.op(self.interval.store_key(), lease)),
            None => None,
        };
        if op.is_some() {
            self.calling = Calling::Yes;
        }
        op
    }

    /// Takes the outcome of the call that [`Escrow::poll`] gave.
    pub fn settle(&mut self, now: MonoTime, outcome: Outcome) {
        if std::mem::replace(&mut self.calling, Calling::No) == Calling::Outdated {
            return;
        }
        match outcome {
            Outcome::Applied(version) => self.on_applied(version),
            Outcome::Found(Some(entry)) if entry.key != self.interval.store_key() => {
                self.block(now, PAUSE);
            }
            Outcome::Found(current) | Outcome::Conflict(current) => {
                self.on_current(current.as_ref());
            }
            Outcome::Unknown => self.on_doubt(),
            _ => self.block(now, PAUSE),
        }
    }

    /// Plans a draw or a return on the account as last seen.
    fn plan(&mut self, now: MonoTime, rng: &mut impl Rng) {
        let Some((account, version)) = self.seen.clone() else {
            return;
        };
        let (direction, amount) = if self.is_idle(now) {
            (Direction::Return, std::mem::take(&mut self.balance))
        } else if self.wanted > self.balance {
            match self.slice(&account) {
                Some(amount) => (Direction::Draw, amount),
                None => return self.exhausted(now),
            }
        } else {
            return self.wanted = Credit::ZERO;
        };
        let change = ChangeId::random(rng);
        self.transfer = Some(Transfer::new(direction, amount, change, account, version));
    }

    fn is_due(&self, now: MonoTime) -> bool {
        self.wanted > self.balance || self.is_idle(now)
    }

    fn is_idle(&self, now: MonoTime) -> bool {
        let idle = now >= self.touched.after(IDLE);
        self.balance > Credit::ZERO && (self.stopping || idle)
    }

    /// How much to draw; `None` if what is left does not cover what is wanted.
    fn slice(&self, account: &Account) -> Option<Credit> {
        let left = self.interval.limit.saturating_sub(account.drawn);
        let need = self.wanted.saturating_sub(self.balance);
        let smallest = Credit(self.interval.limit.get() / SMALLEST);
        let slice = Credit(left.get() / SLICES).max(smallest).min(left);
        (need <= left).then(|| slice.max(need))
    }

    fn exhausted(&mut self, now: MonoTime) {
        self.seen = None;
        self.block(now, RECHECK);
    }

    fn on_applied(&mut self, version: Version) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        self.doubt = false;
        self.seen = Some((transfer.result(), version));
        if transfer.direction == Direction::Draw {
            self.balance = self.balance.saturating_add(transfer.amount);
        }
    }

    fn on_doubt(&mut self) {
        self.doubt = true;
        if let Some(transfer) = &mut self.transfer {
            transfer.doubt();
        }
    }

    fn on_current(&mut self, current: Option<&Entry>) {
        let account = match current {
            None => Some(Account::default()),
            Some(entry) => Account::decode(&entry.value),
        };
        let version = current.map_or(Version::ABSENT, |entry| entry.version);
        self.seen = account.map(|account| (account, version));
        self.doubt = false;
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        let made = match transfer.verdict(current) {
            Verdict::Open => return self.transfer = Some(transfer),
            Verdict::Lost => return,
            Verdict::Made => true,
            Verdict::Failed => false,
        };
        if made == (transfer.direction == Direction::Draw) {
            self.balance = self.balance.saturating_add(transfer.amount);
        }
    }

    fn block(&mut self, now: MonoTime, pause: Millis) {
        self.blocked = now.after(pause);
        self.wanted = Credit::ZERO;
    }

    fn refusal(&self, now: MonoTime, until: MonoTime) -> Shortage {
        Shortage::Refused(Refusal {
            reason: Reason::NoCredit,
            retry: until.min(self.interval.ends).since(now),
        })
    }
}
