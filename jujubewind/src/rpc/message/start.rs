//! Handing a request to an agent.

use super::Quote;
use crate::refusal::Refusal;
use crate::types::Incarnation;
use crate::types::Tokens;

crate::data! {
    /// A request with its prompt.
    pub struct Start {
        /// The request's shape.
        pub quote: Quote,
        /// The prompt's text.
        pub text: String,
        /// The first output token wanted; above zero when an answer resumes elsewhere.
        pub offset: Tokens,
    }

    /// Whether the agent took the request.
    pub enum StartReply {
        /// It did, and holds a reservation until the attempt ends or nobody pulls.
        Accepted {
            /// The agent's start number; a pull that meets another one knows the attempt is lost.
            incarnation: Incarnation,
        },
        /// It did not, and never will run this attempt.
        Refused(Refusal),
    }
}
