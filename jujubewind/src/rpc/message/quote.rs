//! Asking an agent when a request would be served.

use super::Envelope;
use crate::refusal::Refusal;
use crate::types::Class;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::Tokens;

crate::data! {
    /// The shape of a request, without its prompt.
    pub struct Quote {
        /// Sender, attempt and time left.
        pub envelope: Envelope,
        /// The model asked for.
        pub model: ModelId,
        /// The organisation that pays.
        pub org: OrgId,
        /// The class of work.
        pub class: Class,
        /// The length of the prompt.
        pub prompt: Tokens,
        /// The longest answer allowed.
        pub output: Tokens,
        /// The engines that share the prompt; more than one for a group.
        pub parts: u64,
        /// Whether nothing else may run on the engine with it.
        pub alone: bool,
        /// Marks of the prompt's blocks, by which a cache hit is known.
        pub marks: Vec<u64>,
    }

    /// An agent's own estimate, or why it would not take the request.
    pub enum QuoteReply {
        /// The request would be taken.
        Estimate {
            /// Predicted time to first token, cache hit included.
            first: Millis,
            /// Predicted time to the last token.
            total: Millis,
            /// How much of the prompt is cached here.
            cached: Tokens,
        },
        /// The request needs more memory than one engine can give it.
        TooLong {
            /// The most that one request can have here.
            ceiling: Tokens,
        },
        /// The request would be refused.
        Refused(Refusal),
    }
}
