//! An order that its leader was entitled to give.

use super::Enforcement;
use crate::lease::LeaseHolder;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Fence;
use crate::types::Millis;
use crate::types::MonoTime;

/// The bits of an engine's number that hold the leader's; the agent's stand above them.
const LEADER_BITS: u32 = 32;

/// An order that may go to the engine, once, if the last check allows it.
#[derive(Debug, PartialEq, Eq)]
pub struct AuthorizedOrder {
    leader: Fence,
    expires: MonoTime,
}

impl AuthorizedOrder {
    pub(super) const fn new(leader: Fence, expires: MonoTime) -> Self {
        Self { leader, expires }
    }

    /// The last check, to be made just before the order is sent, on the agent's own lease.
    ///
    /// The number is first the agent's and then the leader's: an agent that was replaced stays
    /// below its successor whatever leader it serves.
    ///
    /// # Errors
    /// The leader's lease has run out, or the agent may no longer act where the engine would not
    /// notice.
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

/// The refusal of an order that came too late.
pub(super) const fn stale() -> Refusal {
    Refusal {
        reason: Reason::StaleFence,
        retry: Millis::ZERO,
    }
}

const fn combined(agent: Fence, leader: Fence) -> Fence {
    Fence((agent.get() << LEADER_BITS) | leader.get())
}
