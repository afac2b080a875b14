//! An attempt that the agent holds, with the output received so far.

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
    /// The phases of an attempt, as in `charts/attempt.yaml`.
    pub enum Phase {
        /// Admitted, not yet submitted to the engine.
        Waiting = "waiting",
        /// Submitted to the engine.
        Running = "running",
        /// Completed, failed, refused or cancelled.
        Ended = "ended",
    }
}

crate::label! {
    /// The transitions of an attempt, as in `charts/attempt.yaml`.
    pub enum Step {
        /// The attempt is submitted to the engine.
        Submit = "submit",
        /// The engine completed the output.
        End = "end",
        /// The engine failed.
        Fail = "fail",
        /// The scheduler refused it before it ran.
        Refuse = "refuse",
        /// The entry cancelled it, or no entry pulled its tokens in time.
        Cancel = "cancel",
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The output is complete and has this many tokens.
    Complete(Finish, Tokens),
    /// The engine failed or crashed.
    Failed {
        /// The crash, if the engine crashed while it held the attempt.
        crash: Option<Crash>,
    },
    /// It never ran.
    Refused(Refusal),
}

/// An attempt and its output.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub start: Start,
    /// The current phase.
    pub phase: Phase,
    /// When an entry last pulled tokens, or when the attempt ended.
    pub last_access: MonoTime,
    /// Whether an entry has fetched the end of the output.
    pub end_fetched: bool,
    /// The engine's handle of the exported KV cache, while paused.
    pub export: Option<String>,
    /// The incarnation of the engine that it was submitted to.
    pub engine_incarnation: Option<Incarnation>,
    /// The request's deadline.
    pub deadline: MonoTime,
    tokens: Vec<String>,
    ending: Option<Ending>,
}

impl Attempt {
    /// Creates a waiting attempt for an admitted request.
    #[must_use]
    pub fn new(start: Start, now: MonoTime) -> Self {
        Self {
            engine_incarnation: None,
            deadline: now.after(start.quote.envelope.remaining),
            start,
            phase: Phase::Waiting,
            last_access: now,
            end_fetched: false,
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

    /// Whether both have the same organisation, model and text.
    #[must_use]
    pub fn is_duplicate(&self, other: &Self) -> bool {
        let shape = |one: &Self| (one.start.quote.org.clone(), one.start.quote.model.clone());
        shape(self) == shape(other) && self.start.text == other.start.text
    }

    /// Whether it has not ended.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.phase != Phase::Ended
    }

    /// Whether the output is complete but its end was not fetched.
    #[must_use]
    pub fn is_unread(&self) -> bool {
        !self.end_fetched && matches!(self.ending, Some(Ending::Complete(..)))
    }

    /// Appends a token; `false` if its offset repeats or leaves a gap.
    #[must_use]
    pub fn push(&mut self, offset: Tokens, text: String) -> bool {
        if offset != self.next_offset() {
            return false;
        }
        self.tokens.push(text);
        true
    }

    /// The number of tokens received in this attempt.
    #[must_use]
    pub fn written(&self) -> Tokens {
        Tokens(self.tokens.len() as u64)
    }

    /// The offset expected of the engine's next token.
    #[must_use]
    pub fn next_offset(&self) -> Tokens {
        self.start.offset.saturating_add(self.written())
    }

    /// Ends the attempt; later calls keep the first ending.
    pub fn end(&mut self, ending: Ending) {
        self.ending.get_or_insert(ending);
    }

    /// The tokens from `offset` on or the ending; `None` if there is neither yet.
    pub fn reply(&mut self, offset: Tokens) -> Option<PullReply> {
        let skip = offset.saturating_sub(self.start.offset).get();
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let tokens: Vec<String> = self.tokens.iter().skip(skip).cloned().collect();
        let end = match &self.ending {
            Some(Ending::Complete(finish, count)) => Some((*finish, *count)),
            _ => None,
        };
        self.end_fetched |= end.is_some();
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
