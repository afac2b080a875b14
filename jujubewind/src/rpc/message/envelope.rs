//! The common header of messages about an attempt.

use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;

crate::data! {
    /// The sender, the attempt and the request's remaining time.
    pub struct Envelope {
        /// The attempt; an answer for another attempt is dropped and counted.
        pub attempt: AttemptId,
        /// The sender.
        pub sender: NodeId,
        /// The sender's incarnation, which tells messages from before a restart apart.
        pub incarnation: Incarnation,
        /// The request's remaining time; a duration, because clocks differ between VMs.
        pub remaining: Millis,
    }
}
