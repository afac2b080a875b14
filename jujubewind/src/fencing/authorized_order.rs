//! An order from a leader that was verified to hold the lease.

use super::Enforcement;
use crate::lease::LeaseHolder;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Fence;
use crate::types::Millis;
use crate::types::MonoTime;

/// The low bits of the combined fencing token that hold the leader's token; the agent's token is
/// in the bits above.
const LEADER_BITS: u32 = 32;

/// An order that may be sent to the engine once, if the final check passes.
#[derive(Debug, PartialEq, Eq)]
pub struct AuthorizedOrder {
    leader: Fence,
    expires: MonoTime,
}

impl AuthorizedOrder {
    pub(super) const fn new(leader: Fence, expires: MonoTime) -> Self {
        Self { leader, expires }
    }

    /// Makes the final check, on the agent's own lease, just before the order is sent, and returns
    /// the fencing token for the engine.
    ///
    /// The agent's token takes the high bits and the leader's the low bits, so that the combined
    /// token of a replaced agent is always below that of its successor, whichever leader it serves.
    ///
    /// # Errors
    /// The leader's lease has expired, or the agent has never held its lease, or the engine does
    /// not check fencing tokens and the agent's own lease is no longer valid.
    pub fn engine_fence(
        self,
        now: MonoTime,
        agent: &LeaseHolder,
        enforcement: Enforcement,
    ) -> Result<Fence, Refusal> {
        let fence = match enforcement {
            Enforcement::Refuses => agent.last_fence(),
            Enforcement::Ignores => agent.valid_fence(now),
        };
        match fence {
            Some(fence) if now < self.expires => Ok(combined(fence, self.leader)),
            _ => Err(stale()),
        }
    }
}

/// The refusal of an order with a stale fencing token.
pub(super) const fn stale() -> Refusal {
    Refusal {
        reason: Reason::StaleFence,
        retry: Millis::ZERO,
    }
}

const fn combined(agent: Fence, leader: Fence) -> Fence {
    Fence((agent.get() << LEADER_BITS) | leader.get())
}
