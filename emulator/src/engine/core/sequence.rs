//! A sequence: a prompt and the answer generated for it.

use super::Prompt;
use super::Usage;

/// The key of a sequence, unique within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeqKey(pub u64);

/// A request to generate a sequence.
#[derive(Clone, Debug)]
pub struct Submit {
    /// The sequence's id, chosen by the client.
    pub id: String,
    /// The model's name.
    pub model: String,
    /// The prompt.
    pub prompt: Prompt,
    /// The maximum length of the answer, counted from token 0.
    pub max_tokens: u64,
    /// Sequences with a lower number run first.
    pub priority: i64,
    /// The first token of the answer to generate.
    pub offset: u64,
    /// The group whose reserved parts hold the memory.
    pub group: Option<String>,
}

/// A sequence in the engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) key: SeqKey,
    pub(crate) submit: Submit,
    /// Tokens of memory reserved while it is in the batch.
    pub(crate) reserved: u64,
    /// Engines that share the prefill.
    pub(crate) engines: u64,
    /// Tokens of context computed so far.
    pub(crate) computed: u64,
    /// Tokens of context to compute before the first new token.
    pub(crate) prefill: u64,
    /// The offset in the answer of the next token.
    pub(crate) next: u64,
    /// The offset at which the answer ends.
    pub(crate) end: u64,
    /// Tokens of the prompt found in the cache.
    pub(crate) cached: u64,
    /// Its work in the current step.
    pub(crate) work: Work,
}

/// The work for a sequence in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Nothing.
    Idle,
    /// Computes this many tokens of its context.
    Prefill(u64),
    /// Generates a token.
    Decode,
}

impl Sequence {
    /// Creates a waiting sequence that reserves `reserved` tokens of memory here and shares its
    /// prefill among `engines` engines.
    pub(crate) fn new(key: SeqKey, submit: Submit, reserved: u64, engines: u64) -> Self {
        let end = submit.prompt.answer_tokens.min(submit.max_tokens);
        Self {
            key,
            reserved,
            engines,
            computed: 0,
            prefill: submit.prompt.tokens.get() + submit.offset,
            next: submit.offset,
            end,
            cached: 0,
            work: Work::Idle,
            submit,
        }
    }

    /// The sort key in the queue and in the batch.
    pub(crate) fn rank(&self) -> (i64, SeqKey) {
        (self.submit.priority, self.key)
    }

    /// Returns whether its context is not yet computed.
    pub(crate) fn is_prefill(&self) -> bool {
        self.computed < self.prefill
    }

    /// Returns the number of tokens in its KV cache.
    pub(crate) fn context(&self) -> u64 {
        self.computed + self.generated()
    }

    /// Returns the token counts so far.
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
