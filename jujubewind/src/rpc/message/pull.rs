//! Fetching an answer's tokens from an agent.

use super::Envelope;
use crate::conviction::Crash;
use crate::refusal::Refusal;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::Tokens;

crate::label! {
    /// Why an answer ended.
    pub enum Finish {
        /// The model ended it.
        Stop = "stop",
        /// The longest allowed answer was reached.
        Length = "length",
    }
}

crate::data! {
    /// Asks for the tokens from `offset` on.
    pub struct Pull {
        /// Sender, attempt and time left.
        pub envelope: Envelope,
        /// The first token wanted.
        pub offset: Tokens,
        /// The longest wait for it before an empty chunk is the answer.
        pub wait: Millis,
    }

    /// Consecutive tokens of one attempt's answer.
    pub struct Chunk {
        /// The attempt they belong to.
        pub attempt: AttemptId,
        /// The place of the first of them in the answer.
        pub offset: Tokens,
        /// The text of each token.
        pub tokens: Vec<String>,
        /// How the answer ended and its whole count, on its last chunk.
        pub end: Option<(Finish, Tokens)>,
    }

    /// What the agent has of the answer.
    pub enum PullReply {
        /// Tokens, or none yet.
        Chunk(Chunk),
        /// The attempt is unknown here: the agent restarted, or nobody pulled for too long.
        Unknown,
        /// The attempt was taken but never ran, and never will.
        Refused(Refusal),
        /// The engine failed; tokens already sent stay valid.
        EngineFailed {
            /// The engine's death, if it died while it had the attempt.
            crash: Option<Crash>,
        },
    }
}
