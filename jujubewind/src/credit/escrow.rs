//! The credit of one catalogue entry that one process has drawn.

use rand::Rng;

use super::Account;
use super::Direction;
use super::Interval;
use super::IntervalId;
use super::Transfer;
use super::TransferStatus;
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

/// A slice is the remaining credit divided by this, so that slices shrink near the limit.
const SLICE_DIVISOR: u64 = 32;

/// The smallest slice is the limit divided by this, so that the last credit takes few draws.
const MIN_SLICE_DIVISOR: u64 = 1_024;

/// How long credit stays unspent before it is returned for other processes.
const IDLE_TIMEOUT: Millis = Millis(10_000);

/// Retry delay after the store failed.
const RETRY_DELAY: Millis = Millis(500);

/// The shortest retry delay of a refusal; a refusal without one would not say when to come back.
const MIN_RETRY: Millis = Millis(1);

/// How long an exhausted account is not read again.
const EXHAUSTED_DELAY: Millis = Millis(2_000);

/// Why credit cannot be spent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// A draw is in progress; retry once the store has answered.
    Drawing,
    /// No credit is available.
    Refused(Refusal),
}

/// The state of the call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// No call is in flight.
    Idle,
    /// A call is in flight.
    InFlight,
    /// A call for an interval that has ended is in flight.
    Outdated,
}

/// Draws slices of credit from the store, spends them locally and returns unused credit.
///
/// [`Escrow::poll`] returns the next call to the store and [`Escrow::settle`] handles its outcome;
/// at most one call is in flight.
#[derive(Debug)]
pub struct Escrow {
    interval: Interval,
    balance: Credit,
    requested: Credit,
    /// The last known account and its version.
    last_seen: Option<(Account, Version)>,
    transfer: Option<Transfer>,
    /// Whether the outcome of the transfer is unknown, so that the account must be read before a
    /// retry.
    is_unresolved: bool,
    call: CallState,
    blocked_until: MonoTime,
    last_spend: MonoTime,
    stopping: bool,
}

impl Escrow {
    /// Creates an escrow with nothing drawn.
    #[must_use]
    pub const fn new(interval: Interval) -> Self {
        Self {
            interval,
            balance: Credit::ZERO,
            requested: Credit::ZERO,
            last_seen: None,
            transfer: None,
            is_unresolved: false,
            call: CallState::Idle,
            blocked_until: MonoTime::ZERO,
            last_spend: MonoTime::ZERO,
            stopping: false,
        }
    }

    /// Returns the credit drawn and not spent.
    #[must_use]
    pub const fn balance(&self) -> Credit {
        self.balance
    }

    /// Spends `need`, which must be the maximum cost of the work.
    ///
    /// # Errors
    /// Fails if too little is drawn: a draw is in progress, or none is possible now.
    pub fn spend(&mut self, now: MonoTime, need: Credit) -> Result<(), Shortage> {
        self.last_spend = now;
        if need <= self.balance {
            self.balance = self.balance.saturating_sub(need);
            return Ok(());
        }
        if self.stopping || need > self.interval.limit {
            return Err(self.refusal(now, self.interval.ends));
        }
        if now < self.blocked_until {
            return Err(self.refusal(now, self.blocked_until));
        }
        self.requested = self.requested.max(need);
        Err(Shortage::Drawing)
    }

    /// Refunds unused credit if its interval is still current.
    pub fn refund(&mut self, id: IntervalId, unused: Credit) {
        if id == self.interval.id {
            self.balance = self.balance.saturating_add(unused);
        }
    }

    /// Switches to the next interval or to another limit; credit of an ended interval expires.
    pub fn renew(&mut self, interval: Interval) {
        if interval.id == self.interval.id {
            self.interval = interval;
            return;
        }
        let (call, stopping) = (self.call, self.stopping);
        *self = Self::new(interval);
        if call != CallState::Idle {
            self.call = CallState::Outdated;
        }
        self.stopping = stopping;
    }

    /// Stops drawing and returns the unused credit.
    pub const fn stop(&mut self) {
        self.stopping = true;
        self.requested = Credit::ZERO;
    }

    /// Returns the next call to the store if one is due.
    pub fn poll(&mut self, now: MonoTime, lease: LeaseId, rng: &mut impl Rng) -> Option<Op> {
        if self.call != CallState::Idle || now < self.blocked_until {
            return None;
        }
        if self.transfer.is_none() {
            self.plan(now, rng);
        }
        let must_read = self.is_unresolved || (self.last_seen.is_none() && self.is_due(now));
        let op = match &self.transfer {
            _ if must_read => Some(Op::Get(self.interval.store_key())),
            Some(transfer) => Some(transfer.op(self.interval.store_key(), lease)),
            None => None,
        };
        if op.is_some() {
            self.call = CallState::InFlight;
        }
        op
    }

    /// Handles the outcome of the call returned by [`Escrow::poll`].
    pub fn settle(&mut self, now: MonoTime, outcome: Outcome) {
        if std::mem::replace(&mut self.call, CallState::Idle) == CallState::Outdated {
            return;
        }
        match outcome {
            Outcome::Applied(version) => self.on_applied(version),
            // A store entry under another key says nothing about this account.
            Outcome::Found(Some(entry)) if entry.key != self.interval.store_key() => {
                self.block(now, RETRY_DELAY);
            }
            Outcome::Found(current) | Outcome::Conflict(current) => {
                self.on_current(current.as_ref());
            }
            Outcome::Unknown => self.on_unknown(),
            _ => self.block(now, RETRY_DELAY),
        }
    }

    /// Plans a draw or a return against the last known account.
    fn plan(&mut self, now: MonoTime, rng: &mut impl Rng) {
        let Some((account, version)) = self.last_seen.clone() else {
            return;
        };
        let (direction, amount) = if self.is_idle(now) {
            (Direction::Return, std::mem::take(&mut self.balance))
        } else if self.requested > self.balance {
            match self.slice(&account) {
                Some(amount) => (Direction::Draw, amount),
                None => return self.on_exhausted(now),
            }
        } else {
            return self.requested = Credit::ZERO;
        };
        let change = ChangeId::random(rng);
        self.transfer = Some(Transfer::new(direction, amount, change, account, version));
    }

    /// Whether credit must be drawn or returned.
    fn is_due(&self, now: MonoTime) -> bool {
        self.requested > self.balance || self.is_idle(now)
    }

    /// Whether unspent credit is to be returned.
    fn is_idle(&self, now: MonoTime) -> bool {
        let idle = now >= self.last_spend.after(IDLE_TIMEOUT);
        self.balance > Credit::ZERO && (self.stopping || idle)
    }

    /// Returns the amount to draw; `None` if the remaining credit does not cover the request.
    fn slice(&self, account: &Account) -> Option<Credit> {
        let left = self.interval.limit.saturating_sub(account.drawn);
        let need = self.requested.saturating_sub(self.balance);
        let smallest = Credit(self.interval.limit.get() / MIN_SLICE_DIVISOR);
        let slice = Credit(left.get() / SLICE_DIVISOR).max(smallest).min(left);
        (need <= left).then(|| slice.max(need))
    }

    fn on_exhausted(&mut self, now: MonoTime) {
        self.last_seen = None;
        self.block(now, EXHAUSTED_DELAY);
    }

    fn on_applied(&mut self, version: Version) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        self.is_unresolved = false;
        self.last_seen = Some((transfer.result(), version));
        if transfer.direction == Direction::Draw {
            self.balance = self.balance.saturating_add(transfer.amount);
        }
    }

    fn on_unknown(&mut self) {
        self.is_unresolved = true;
        if let Some(transfer) = &mut self.transfer {
            transfer.mark_unanswered();
        }
    }

    /// Handles the account as read from the store, which tells whether an unresolved transfer was
    /// applied.
    fn on_current(&mut self, current: Option<&Entry>) {
        let account = match current {
            None => Some(Account::default()),
            Some(entry) => Account::decode(&entry.value),
        };
        let version = current.map_or(Version::ABSENT, |entry| entry.version);
        self.last_seen = account.map(|account| (account, version));
        self.is_unresolved = false;
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        let applied = match transfer.status(current) {
            TransferStatus::Pending => return self.transfer = Some(transfer),
            TransferStatus::Unknown => return,
            TransferStatus::Applied => true,
            TransferStatus::NotApplied => false,
        };
        // A draw that was applied adds credit; a return that was not applied gives it back.
        if applied == (transfer.direction == Direction::Draw) {
            self.balance = self.balance.saturating_add(transfer.amount);
        }
    }

    /// Makes no call to the store for `delay`, and refuses requests that need a draw until then.
    fn block(&mut self, now: MonoTime, delay: Millis) {
        self.blocked_until = now.after(delay);
        self.requested = Credit::ZERO;
    }

    fn refusal(&self, now: MonoTime, until: MonoTime) -> Shortage {
        Shortage::Refused(Refusal {
            reason: Reason::NoCredit,
            retry: now.until(until.min(self.interval.ends)).max(MIN_RETRY),
        })
    }
}
