//! Reserving engine memory for a part of a group.

use super::Envelope;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::Tokens;

crate::data! {
    /// Asks an agent to reserve memory or to renew a reservation, which expires unless renewed.
    pub struct Hold {
        /// Sender, attempt and remaining time.
        pub envelope: Envelope,
        /// The requested model.
        pub model: ModelId,
        /// The memory of the part.
        pub amount: Tokens,
        /// The predicted duration of the group.
        pub span: Millis,
    }

    /// Whether the memory is reserved.
    pub enum HoldReply {
        /// Reserved at the agent and in its engine.
        Held,
        /// Not reserved.
        Refused(Refusal),
    }
}
