//! One attempt that the agent holds.

use crate::rpc::message::Chunk;
use crate::rpc::message::Finish;
use crate::rpc::message::PullReply;
use crate::rpc::message::Start;
use crate::types::AttemptId;
use crate::types::MonoTime;
use crate::types::Tokens;

crate::label! {
    /// Where an attempt stands, as in `charts/attempt.yaml`.
    pub enum Phase {
        /// Admitted, not yet given to the engine.
        Waiting = "waiting",
        /// Given to the engine.
        Running = "running",
        /// Over: whole, failed, cancelled or expired.
        Ended = "ended",
    }
}

crate::label! {
    /// What moves an attempt, as in `charts/attempt.yaml`.
    pub enum Step {
        /// The engine is given the attempt.
        Submit = "submit",
        /// The engine ended the answer.
        End = "end",
        /// The engine failed.
        Fail = "fail",
        /// The entry gave it up.
        Cancel = "cancel",
        /// Nobody asked for its tokens for too long, or its time ran out.
        Expire = "expire",
    }
}

/// An attempt with the part of the answer that is there.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What was asked for.
    pub start: Start,
    /// Where it stands.
    pub phase: Phase,
    /// Whether it was ever given to the engine.
    pub ran: bool,
    /// When its request's time is over.
    pub deadline: MonoTime,
    /// When an entry last asked for its tokens.
    pub touched: MonoTime,
    /// The tokens from the start's offset on.
    pub tokens: Vec<String>,
    /// How the answer ended, with its whole count.
    pub finish: Option<(Finish, Tokens)>,
    /// Whether an entry fetched the end of the answer.
    pub read: bool,
    /// Whether the engine failed, and whether it died.
    pub failed: Option<bool>,
}

impl Attempt {
    /// Takes an admitted request.
    #[must_use]
    pub fn new(start: Start, now: MonoTime) -> Self {
        let deadline = now.after(start.quote.envelope.remaining);
        Self {
            start,
            phase: Phase::Waiting,
            ran: false,
            deadline,
            touched: now,
            tokens: Vec::new(),
            finish: None,
            read: false,
            failed: None,
        }
    }

    /// The attempt's identifier.
    #[must_use]
    pub fn id(&self) -> AttemptId {
        self.start.quote.envelope.attempt
    }

    /// Keeps a token if it is the next one; a repeat or a gap is refused.
    pub fn push(&mut self, offset: Tokens, text: String) -> bool {
        let next = self.next_offset();
        if offset != next {
            return false;
        }
        self.tokens.push(text);
        true
    }

    /// The offset of the next token that the engine owes.
    #[must_use]
    pub fn next_offset(&self) -> Tokens {
        self.start
            .offset
            .saturating_add(Tokens(self.tokens.len() as u64))
    }

    /// What there is from `offset` on; `None` if that is nothing yet.
    #[must_use]
    pub fn reply(&self, offset: Tokens) -> Option<PullReply> {
        let skip = offset.saturating_sub(self.start.offset).get();
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let tokens: Vec<String> = self.tokens.iter().skip(skip).cloned().collect();
        if tokens.is_empty() && self.finish.is_none() {
            return self.failed.map(|died| PullReply::EngineFailed { died });
        }
        Some(PullReply::Chunk(Chunk {
            attempt: self.id(),
            offset,
            tokens,
            end: self.finish,
        }))
    }
}
