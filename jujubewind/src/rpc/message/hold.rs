//! Holding an engine's memory for a part of a group.

use super::Envelope;
use crate::refusal::Refusal;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::Tokens;

crate::data! {
    /// Asks an agent to hold memory, or to go on holding it; it lets go when nobody asks again.
    pub struct Hold {
        /// Sender, attempt and time left.
        pub envelope: Envelope,
        /// The model asked for.
        pub model: ModelId,
        /// The part's memory.
        pub amount: Tokens,
        /// How long the group is predicted to last.
        pub span: Millis,
    }

    /// Whether the part is held.
    pub enum HoldReply {
        /// It is, at the agent and in its engine.
        Held,
        /// It is not.
        Refused(Refusal),
    }
}
