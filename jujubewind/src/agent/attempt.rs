//! One attempt that the agent holds, with the part of the answer that is there.

use crate::conviction::Crash;
use crate::refusal::Refusal;
use crate::rpc::message::Chunk;
use crate::rpc::message::Finish;
use crate::rpc::message::PullReply;
use crate::rpc::message::Start;
use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::Tokens;

crate::label! {
    /// Where an attempt stands, as in `charts/attempt.yaml`.
    pub enum Phase {
        /// Admitted, not yet given to the engine.
        Waiting = "waiting",
        /// Given to the engine.
        Running = "running",
        /// Over: whole, failed, refused or cancelled.
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
        /// The scheduler refuses it before it ran.
        Refuse = "refuse",
        /// The entry gave it up, or nobody asked for its tokens.
        Cancel = "cancel",
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is whole and has this many tokens.
    Whole(Finish, Tokens),
    /// The engine failed, or died.
    Failed {
        /// Its death, if it died while it had the attempt.
        crash: Option<Crash>,
    },
    /// It never ran.
    Refused(Refusal),
}

/// An attempt and its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What was asked for.
    pub start: Start,
    /// Where it stands.
    pub phase: Phase,
    /// When an entry last asked for its tokens, or when it ended.
    pub touched: MonoTime,
    /// Whether an entry fetched the end of the answer.
    pub read: bool,
    /// The engine's name of the exported KV cache, while paused.
    pub export: Option<String>,
    /// The start number of the engine that was given it.
    pub life: Option<Incarnation>,
    /// When its time is over.
    pub deadline: MonoTime,
    tokens: Vec<String>,
    ending: Option<Ending>,
}

impl Attempt {
    /// Takes an admitted request.
    #[must_use]
    pub fn new(start: Start, now: MonoTime) -> Self {
        Self {
            life: None,
            deadline: now.after(start.quote.envelope.remaining),
            start,
            phase: Phase::Waiting,
            touched: now,
            read: false,
            export: None,
            tokens: Vec::new(),
            ending: None,
        }
    }

    /// The attempt's identifier.
    #[must_use]
    pub fn id(&self) -> AttemptId {
        self.start.quote.envelope.attempt
    }

    /// Whether both ask for the same.
    #[must_use]
    pub fn is_copy(&self, other: &Self) -> bool {
        let shape = |one: &Self| (one.start.quote.org.clone(), one.start.quote.model.clone());
        shape(self) == shape(other) && self.start.text == other.start.text
    }

    /// Whether it is not over.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.phase != Phase::Ended
    }

    /// Whether the answer is whole but its end was not fetched.
    #[must_use]
    pub fn is_unread(&self) -> bool {
        !self.read && matches!(self.ending, Some(Ending::Whole(..)))
    }

    /// Keeps a token if it is the next one; a repeat or a gap is refused.
    #[must_use]
    pub fn push(&mut self, offset: Tokens, text: String) -> bool {
        if offset != self.next_offset() {
            return false;
        }
        self.tokens.push(text);
        true
    }

    /// How many tokens this attempt has written.
    #[must_use]
    pub fn written(&self) -> Tokens {
        Tokens(self.tokens.len() as u64)
    }

    /// The offset of the next token that the engine owes.
    #[must_use]
    pub fn next_offset(&self) -> Tokens {
        self.start.offset.saturating_add(self.written())
    }

    /// Ends the attempt; the first ending stays.
    pub fn end(&mut self, ending: Ending) {
        self.ending.get_or_insert(ending);
    }

    /// What there is from `offset` on; `None` if that is nothing yet.
    pub fn reply(&mut self, offset: Tokens) -> Option<PullReply> {
        let skip = offset.saturating_sub(self.start.offset).get();
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let tokens: Vec<String> = self.tokens.iter().skip(skip).cloned().collect();
        let end = match &self.ending {
            Some(Ending::Whole(finish, count)) => Some((*finish, *count)),
            _ => None,
        };
        self.read |= end.is_some();
        if !tokens.is_empty() || end.is_some() {
            return Some(PullReply::Chunk(Chunk {
                attempt: self.id(),
                offset,
                tokens,
                end,
            }));
        }
        match &self.ending {
            Some(Ending::Failed { crash }) => Some(PullReply::EngineFailed {
                crash: crash.clone(),
            }),
            Some(Ending::Refused(refusal)) => Some(PullReply::Refused(refusal.clone())),
            _ => None,
        }
    }
}
