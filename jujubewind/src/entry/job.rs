//! An admitted generation request.

use crate::conviction::Fingerprint;
use crate::memory::Held;
use crate::prefix;
use crate::rpc::message::Envelope;
use crate::rpc::message::Quote;
use crate::types::Class;
use crate::types::EntryId;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::RequestId;
use crate::types::Tokens;

/// A generation request that has been authenticated and admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// The organisation that the request is charged to.
    pub org: OrgId,
    /// The catalogue entry that it was admitted under.
    pub entry: EntryId,
    /// The requested model.
    pub model: ModelId,
    /// The class of work.
    pub class: Class,
    /// Identifies the request when it is sent again, so that repeated crashes are noticed.
    pub fingerprint: Fingerprint,
    /// The prompt's text.
    pub text: Held<String>,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The maximum length of the answer.
    pub output: Tokens,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
}

impl Job {
    /// Returns a copy without the prompt's text, which only agents need.
    #[must_use]
    pub fn without_text(&self) -> Self {
        Self {
            request: self.request,
            org: self.org.clone(),
            entry: self.entry.clone(),
            model: self.model.clone(),
            class: self.class,
            fingerprint: self.fingerprint,
            text: Held::default(),
            prompt: self.prompt,
            output: self.output,
            blocks: self.blocks.clone(),
        }
    }

    /// Returns the KV cache that the request needs when its answer has the maximum length.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }

    /// Returns the quote request for one of `parts` agents that share the prompt; `alone` if no
    /// other request may run at the same time.
    #[must_use]
    pub fn quote(&self, envelope: Envelope, parts: u64, alone: bool) -> Quote {
        Quote {
            envelope,
            model: self.model.clone(),
            org: self.org.clone(),
            class: self.class,
            prompt: self.prompt,
            output: self.output,
            parts,
            alone: alone && parts == 1,
            marks: prefix::marks(&self.blocks),
        }
    }
}
