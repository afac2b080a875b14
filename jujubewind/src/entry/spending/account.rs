//! One catalogue entry's credit at this process, with the requests that wait for it.

use std::collections::VecDeque;

use flume::Sender;
use rand::Rng;

use super::Funds;
use crate::credit::Escrow;
use crate::credit::Interval;
use crate::credit::IntervalId;
use crate::credit::Shortage;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Outcome;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The longest wait of a request for a draw.
const PATIENCE: Millis = Millis(1_000);
/// When to come back after a draw that did not end in time.
const RETRY: Millis = Millis(1_000);

/// Takes the answer to a request for credit.
pub(super) type Reply = Sender<Result<Funds, Refusal>>;

/// A request that waits for a draw.
#[derive(Debug)]
struct Waiter {
    need: Credit,
    reply: Reply,
    until: MonoTime,
}

/// The escrow of one catalogue entry and who waits for it.
#[derive(Debug)]
pub(super) struct Account {
    entry: EntryId,
    interval: IntervalId,
    escrow: Escrow,
    waiting: VecDeque<Waiter>,
    calling: bool,
}

impl Account {
    /// Begins with nothing drawn.
    pub(super) fn new(interval: Interval) -> Self {
        Self {
            entry: interval.entry.clone(),
            interval: interval.id,
            escrow: Escrow::new(interval),
            waiting: VecDeque::new(),
            calling: false,
        }
    }

    /// What is drawn and not spent.
    pub(super) fn balance(&self) -> Credit {
        self.escrow.balance()
    }

    /// Whether nothing is drawn and the store is not being asked.
    pub(super) fn is_quiet(&self) -> bool {
        !self.calling && self.balance() == Credit::ZERO
    }

    /// Answers a request, at once or when the draw has ended.
    pub(super) fn spend(&mut self, now: MonoTime, interval: Interval, need: Credit, reply: Reply) {
        self.interval = interval.id;
        self.escrow.renew(interval);
        let until = now.after(PATIENCE);
        self.serve(now, Waiter { need, reply, until });
    }

    /// Takes back what a request did not use.
    pub(super) fn refund(&mut self, funds: &Funds, used: Credit) {
        let unused = funds.amount.saturating_sub(used);
        self.escrow.refund(funds.interval, unused);
    }

    /// Draws no more, and returns what is left.
    pub(super) fn stop(&mut self) {
        self.escrow.stop();
    }

    /// Takes the outcome of the call that [`Account::poll`] gave.
    pub(super) fn settle(&mut self, now: MonoTime, outcome: Outcome) {
        self.calling = false;
        self.escrow.settle(now, outcome);
    }

    /// The next call to the store, if one is due.
    pub(super) fn poll(&mut self, now: MonoTime, lease: LeaseId, rng: &mut impl Rng) -> Option<Op> {
        let op = self.escrow.poll(now, lease, rng);
        self.calling |= op.is_some();
        op
    }

    /// Looks at everyone who waits again.
    pub(super) fn serve_waiting(&mut self, now: MonoTime) {
        for waiter in std::mem::take(&mut self.waiting) {
            self.serve(now, waiter);
        }
    }

    fn serve(&mut self, now: MonoTime, waiter: Waiter) {
        let answer = match self.escrow.spend(now, waiter.need) {
            Ok(()) => Ok(Funds {
                entry: self.entry.clone(),
                interval: self.interval,
                amount: waiter.need,
            }),
            Err(Shortage::Refused(refusal)) => Err(refusal),
            Err(Shortage::Drawing) if now < waiter.until => {
                return self.waiting.push_back(waiter);
            }
            Err(Shortage::Drawing) => Err(Refusal {
                reason: Reason::NoCredit,
                retry: RETRY,
            }),
        };
        // A request that is no longer there has spent nothing.
        if let Err(flume::SendError(Ok(funds))) = waiter.reply.send(answer) {
            self.refund(&funds, Credit::ZERO);
        }
    }
}
