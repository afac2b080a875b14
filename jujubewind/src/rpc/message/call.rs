//! Calls to a plain service.

use super::Envelope;
use crate::memory::Blob;
use crate::memory::Held;
use crate::refusal::Refusal;
use crate::types::ModelId;

crate::data! {
    /// A call to the plain service of the agent.
    pub struct Call {
        /// Sender, attempt and remaining time.
        pub envelope: Envelope,
        /// The service's name in the catalogue.
        pub service: ModelId,
        /// The method: the path below the service's root.
        pub method: String,
        /// The caller's idempotency key, forwarded to the service.
        pub key: Option<String>,
        /// The request body.
        pub body: Held<Blob>,
    }

    /// How the call ended.
    pub enum CallReply {
        /// The service answered.
        Answered {
            /// The HTTP status.
            status: u16,
            /// The response body.
            body: Held<Blob>,
        },
        /// The agent did not send the call, and never will.
        Refused(Refusal),
        /// The call was sent and no answer arrived: it may have run.
        Unknown,
    }
}
