//! What every message about an attempt carries.

use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;

crate::data! {
    /// Who speaks, about which attempt, and how much of the request's time is left.
    pub struct Envelope {
        /// The attempt; an answer that names another is dropped and counted.
        pub attempt: AttemptId,
        /// The sender.
        pub sender: NodeId,
        /// The sender's start number, by which messages of an earlier life are known.
        pub incarnation: Incarnation,
        /// The time left to the request: a duration, since clocks differ between VMs.
        pub remaining: Millis,
    }
}
