//! The agent's check of who gives an order.

use super::AuthorizedOrder;
use super::Order;
use super::authorized_order::stale;
use crate::lease::LeaseRecord;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::store::Entry;
use crate::store::Key;
use crate::store::Op;
use crate::store::Outcome;
use crate::types::Fence;
use crate::types::Millis;
use crate::types::MonoTime;

/// When to come back after the store did not say who leads.
const RETRY: Millis = Millis(2_000);

/// Compares each order with the leader's lease in the store and with the orders before it.
///
/// Orders are rare, so one read for each costs little. Without the store there is no order; no
/// leader can renew its lease then either.
#[derive(Debug)]
pub struct OrderGate {
    leader: Key,
    highest: Fence,
}

impl OrderGate {
    /// Guards an engine whose orders come from the holder of the lease at `leader`.
    #[must_use]
    pub const fn new(leader: Key) -> Self {
        Self {
            leader,
            highest: Fence::ZERO,
        }
    }

    /// The read that must follow on an order.
    ///
    /// # Errors
    /// A later leader's order came before.
    pub fn begin_check(&mut self, order: &Order) -> Result<Op, Refusal> {
        if order.fence < self.highest {
            return Err(stale());
        }
        Ok(Op::Get(self.leader.clone()))
    }

    /// Judges an order received at `received` by the outcome of its read.
    ///
    /// # Errors
    /// Another leader holds the lease, or the store does not say.
    pub fn authorize(
        &mut self,
        received: MonoTime,
        order: &Order,
        outcome: &Outcome,
    ) -> Result<AuthorizedOrder, Refusal> {
        let record = match outcome {
            Outcome::Found(Some(entry)) => self.record(entry),
            _ => None,
        };
        let record = record.ok_or(Refusal {
            reason: Reason::StoreDown,
            retry: RETRY,
        })?;
        self.highest = self.highest.max(record.fence);
        if record.released || order.fence < self.highest || order.fence > record.fence {
            return Err(stale());
        }
        Ok(AuthorizedOrder::new(
            order.fence,
            received.after(order.remaining),
        ))
    }

    fn record(&self, entry: &Entry) -> Option<LeaseRecord> {
        let ours = entry.key == self.leader;
        LeaseRecord::decode(&entry.value).filter(|_| ours)
    }
}
