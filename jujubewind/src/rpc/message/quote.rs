//! Requesting an agent's estimate of when a request would be served.

use super::Envelope;
use crate::refusal::Refusal;
use crate::types::Class;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::Tokens;

crate::data! {
    /// The parameters of a request, without the text of its prompt.
    pub struct Quote {
        /// Sender, attempt and remaining time.
        pub envelope: Envelope,
        /// The requested model.
        pub model: ModelId,
        /// The organisation that is charged.
        pub org: OrgId,
        /// The class of work.
        pub class: Class,
        /// The length of the prompt.
        pub prompt: Tokens,
        /// The maximum length of the answer.
        pub output: Tokens,
        /// The number of engines that share the prompt; more than one for a group.
        pub parts: u64,
        /// Whether the request must run alone on its engine.
        pub alone: bool,
        /// Hashes of the prompt's blocks, to detect prefix cache hits.
        pub marks: Vec<u64>,
    }

    /// An agent's estimate, or why it would not accept the request.
    pub enum QuoteReply {
        /// The request would be accepted.
        Estimate {
            /// Predicted time to first token, including the effect of a cache hit.
            first: Millis,
            /// Predicted time to the last token.
            total: Millis,
            /// The part of the prompt that is cached at the engine.
            cached: Tokens,
        },
        /// The request needs more memory than one engine can provide.
        TooLong {
            /// The maximum for one request at this agent.
            ceiling: Tokens,
        },
        /// The request would be refused.
        Refused(Refusal),
    }
}
