//! The agent's check that an order comes from the current leader.

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

/// Retry delay when the store did not tell who the leader is.
const RETRY_DELAY: Millis = Millis(2_000);

/// Checks each order against the leader's lease in the store and against earlier orders.
///
/// Orders are rare, so one read for each is cheap. While the store is down, all orders are refused;
/// no leader can renew its lease then either.
#[derive(Debug)]
pub struct OrderGate {
    leader: Key,
    highest: Fence,
}

impl OrderGate {
    /// Creates a gate for an engine whose orders come from the holder of the lease at `leader`.
    #[must_use]
    pub const fn new(leader: Key) -> Self {
        Self {
            leader,
            highest: Fence::ZERO,
        }
    }

    /// Starts the check of an order and returns the store read that it needs.
    ///
    /// # Errors
    /// An order of a later leader was received before.
    pub fn begin_check(&mut self, order: &Order) -> Result<Op, Refusal> {
        if order.fence < self.highest {
            return Err(stale());
        }
        Ok(Op::Get(self.leader.clone()))
    }

    /// Authorizes an order received at `received` from the outcome of the read.
    ///
    /// # Errors
    /// The order is not from the current leader, or the store did not answer.
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
            retry: RETRY_DELAY,
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
        let is_leader_key = entry.key == self.leader;
        LeaseRecord::decode(&entry.value).filter(|_| is_leader_key)
    }
}
