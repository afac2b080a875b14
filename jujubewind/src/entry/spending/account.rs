//! One catalogue entry's credit at this process, and the queue of requests that wait for it.

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

/// How long a request waits for credit to be drawn.
const DRAW_TIMEOUT: Millis = Millis(1_000);
/// Retry delay after a draw that did not finish in time.
const RETRY_DELAY: Millis = Millis(1_000);

/// Receives the answer to a request for credit.
pub(super) type Reply = Sender<Result<Funds, Refusal>>;

/// A request that waits for a draw.
#[derive(Debug)]
struct Waiter {
    need: Credit,
    reply: Reply,
    deadline: MonoTime,
}

/// The escrow of one catalogue entry and the requests that wait for it.
#[derive(Debug)]
pub(super) struct Account {
    entry: EntryId,
    interval: IntervalId,
    escrow: Escrow,
    waiting: VecDeque<Waiter>,
    call_pending: bool,
}

impl Account {
    /// Creates an account with nothing drawn.
    pub(super) fn new(interval: Interval) -> Self {
        Self {
            entry: interval.entry.clone(),
            interval: interval.id,
            escrow: Escrow::new(interval),
            waiting: VecDeque::new(),
            call_pending: false,
        }
    }

    /// The credit that is drawn and not spent.
    pub(super) fn balance(&self) -> Credit {
        self.escrow.balance()
    }

    /// Whether no credit is held and no call to the store is pending.
    pub(super) fn is_idle(&self) -> bool {
        !self.call_pending && self.balance() == Credit::ZERO
    }

    /// Answers a request for credit, at once or when a pending draw has finished.
    pub(super) fn spend(&mut self, now: MonoTime, interval: Interval, need: Credit, reply: Reply) {
        self.interval = interval.id;
        self.escrow.renew(interval);
        let deadline = now.after(DRAW_TIMEOUT);
        self.serve(
            now,
            Waiter {
                need,
                reply,
                deadline,
            },
        );
    }

    /// Returns the credit that a request did not use to the account.
    pub(super) fn refund(&mut self, funds: &Funds, used: Credit) {
        let unused = funds.amount.saturating_sub(used);
        self.escrow.refund(funds.interval, unused);
    }

    /// Stops drawing credit and starts to return the rest to the store.
    pub(super) fn stop(&mut self) {
        self.escrow.stop();
    }

    /// Handles the outcome of the call that [`Account::poll`] returned.
    pub(super) fn settle(&mut self, now: MonoTime, outcome: Outcome) {
        self.call_pending = false;
        self.escrow.settle(now, outcome);
    }

    /// Returns the next call to the store, if one is due.
    pub(super) fn poll(&mut self, now: MonoTime, lease: LeaseId, rng: &mut impl Rng) -> Option<Op> {
        let op = self.escrow.poll(now, lease, rng);
        self.call_pending |= op.is_some();
        op
    }

    /// Retries all waiting requests.
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
            Err(Shortage::Drawing) if now < waiter.deadline => {
                return self.waiting.push_back(waiter);
            }
            Err(Shortage::Drawing) => Err(Refusal {
                reason: Reason::NoCredit,
                retry: RETRY_DELAY,
            }),
        };
        // The requester has gone, so its credit is refunded.
        if let Err(flume::SendError(Ok(funds))) = waiter.reply.send(answer) {
            self.refund(&funds, Credit::ZERO);
        }
    }
}
