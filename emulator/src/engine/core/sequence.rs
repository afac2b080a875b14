//! One sequence: a prompt and the answer that grows behind it.

use super::Prompt;
use super::Usage;

/// The number of a sequence, never used twice by one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeqKey(pub u64);

/// A request for a sequence.
#[derive(Clone, Debug)]
pub struct Submit {
    /// The sequence's id, chosen by the sender.
    pub id: String,
    /// The model's name.
    pub model: String,
    /// The prompt.
    pub prompt: Prompt,
    /// The longest answer, counted from its start.
    pub max_tokens: u64,
    /// A lower number runs sooner.
    pub priority: i64,
    /// The first token of the answer that is wanted.
    pub offset: u64,
    /// The group of parts that holds the memory.
    pub group: Option<String>,
}

/// A sequence in the engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) key: SeqKey,
    pub(crate) submit: Submit,
    /// Tokens of memory held while it is in the batch.
    pub(crate) held: u64,
    /// Engines that share the prefill.
    pub(crate) engines: u64,
    /// Tokens of context computed so far.
    pub(crate) done: u64,
    /// Tokens of context to compute before the first new token.
    pub(crate) target: u64,
    /// The place in the answer of the next token.
    pub(crate) next: u64,
    /// The place at which the answer ends.
    pub(crate) end: u64,
    /// Tokens of the prompt found in the cache.
    pub(crate) cached: u64,
    /// What the step under way does for it.
    pub(crate) work: Work,
}

/// What the step under way does for a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Nothing.
    Idle,
    /// Computes so many tokens of its context.
    Prefill(u64),
    /// Generates a token.
    Decode,
}

impl Sequence {
    /// Prepares the sequence; `engines` share its prefill and hold `held` tokens here.
    pub(crate) fn new(key: SeqKey, submit: Submit, held: u64, engines: u64) -> Self {
        let end = submit.prompt.answer_tokens.min(submit.max_tokens);
        Self {
            key,
            held,
            engines,
            done: 0,
            target: submit.prompt.tokens.get() + submit.offset,
            next: submit.offset,
            end,
            cached: 0,
            work: Work::Idle,
            submit,
        }
    }

    /// The order in the queue and in the batch.
    pub(crate) fn rank(&self) -> (i64, SeqKey) {
        (self.submit.priority, self.key)
    }

    /// Whether its context is not yet computed.
    pub(crate) fn is_prefill(&self) -> bool {
        self.done < self.target
    }

    /// Tokens in its KV cache.
    pub(crate) fn context(&self) -> u64 {
        self.done + self.generated()
    }

    /// Tokens taken so far.
    pub(crate) fn usage(&self) -> Usage {
        Usage {
            prompt: self.submit.prompt.tokens.get(),
            completion: self.generated(),
            cached: self.cached,
        }
    }

    fn generated(&self) -> u64 {
        self.next - self.submit.offset
    }
}
