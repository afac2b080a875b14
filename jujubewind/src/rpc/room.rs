//! The memory for messages between processes.

use std::sync::Arc;

use crate::http::BodyBudget;
use crate::http::HeldBody;
use crate::memory::Purpose;
use crate::timer::Clock;
use crate::types::Bytes;

/// The memory in which messages are held until they are whole.
#[derive(Clone, Debug)]
pub struct Room {
    /// The bodies that the process holds, messages among them.
    pub bodies: Arc<BodyBudget>,
    /// The clock that tells whether a message has stopped to arrive.
    pub clock: Clock,
    /// What arrives: requests of other processes, or responses.
    pub purpose: Purpose,
}

impl Room {
    /// Memory without a limit for responses, as for a command.
    #[must_use]
    pub fn unlimited() -> Self {
        Self {
            bodies: BodyBudget::new(Bytes(u64::MAX)),
            clock: Clock::start(),
            purpose: Purpose::Response,
        }
    }

    /// Begins a message.
    pub(super) fn begin(&self) -> HeldBody {
        let now = self.clock.now();
        match self.purpose {
            Purpose::Request => self.bodies.begin_request(now),
            Purpose::Response => self.bodies.begin_response(now),
        }
    }
}
