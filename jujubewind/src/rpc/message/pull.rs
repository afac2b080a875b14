//! Fetching the tokens of an answer from an agent.

use super::Envelope;
use crate::conviction::Crash;
use crate::refusal::Refusal;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::Tokens;

crate::label! {
    /// Why generation ended.
    pub enum Finish {
        /// The model ended the answer.
        Stop = "stop",
        /// The answer reached its maximum length.
        Length = "length",
    }
}

crate::data! {
    /// Requests the tokens from `offset` on.
    pub struct Pull {
        /// Sender, attempt and remaining time.
        pub envelope: Envelope,
        /// The first requested token.
        pub offset: Tokens,
        /// How long to wait for the token before answering with an empty chunk.
        pub wait: Millis,
    }

    /// Consecutive tokens of one attempt's answer.
    pub struct Chunk {
        /// The attempt that the tokens belong to.
        pub attempt: AttemptId,
        /// The offset of the first of these tokens in the answer.
        pub offset: Tokens,
        /// The text of each token.
        pub tokens: Vec<String>,
        /// In the last chunk, how the answer ended and its total token count.
        pub end: Option<(Finish, Tokens)>,
    }

    /// The answer to a [`Pull`].
    pub enum PullReply {
        /// The next tokens; empty if there are none yet.
        Chunk(Chunk),
        /// The agent doesn't know the attempt: it restarted, or nobody pulled for too long.
        Unknown,
        /// The attempt was accepted but never ran, and never will.
        Refused(Refusal),
        /// The engine failed; tokens already sent stay valid.
        EngineFailed {
            /// The engine's crash, if it crashed while it had the attempt.
            crash: Option<Crash>,
        },
    }
}
