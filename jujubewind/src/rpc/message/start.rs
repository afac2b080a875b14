//! Starting a request at an agent.

use super::Quote;
use crate::memory::Held;
use crate::refusal::Refusal;
use crate::types::Incarnation;
use crate::types::Tokens;

crate::data! {
    /// A request, with its prompt.
    pub struct Start {
        /// The parameters of the request.
        pub quote: Quote,
        /// The prompt's text.
        pub text: Held<String>,
        /// The first requested output token; above zero when another agent resumes an answer.
        pub offset: Tokens,
    }

    /// Whether the agent accepted the request.
    pub enum StartReply {
        /// Accepted; the reservation lasts until the attempt ends or nobody pulls for too long.
        Accepted {
            /// The agent's incarnation; if a later pull finds another one, the attempt is lost.
            incarnation: Incarnation,
        },
        /// Not accepted; the agent will never run this attempt.
        Refused(Refusal),
    }
}
