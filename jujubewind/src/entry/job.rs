//! One request as the entry serves it.

use crate::conviction::Fingerprint;
use crate::prefix;
use crate::rpc::message::Envelope;
use crate::rpc::message::Quote;
use crate::types::Class;
use crate::types::EntryId;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::RequestId;
use crate::types::Tokens;

/// A request whose caller is known and whose limits allow it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// The organisation that pays.
    pub org: OrgId,
    /// The catalogue entry that allows it.
    pub entry: EntryId,
    /// The model asked for.
    pub model: ModelId,
    /// The class of work.
    pub class: Class,
    /// By which it is known when it is sent again.
    pub fingerprint: Fingerprint,
    /// The prompt's text.
    pub text: String,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The longest answer.
    pub output: Tokens,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
}

impl Job {
    /// The request without its prompt's text, which only agents need.
    #[must_use]
    pub fn without_text(&self) -> Self {
        Self {
            request: self.request,
            org: self.org.clone(),
            entry: self.entry.clone(),
            model: self.model.clone(),
            class: self.class,
            fingerprint: self.fingerprint,
            text: String::new(),
            prompt: self.prompt,
            output: self.output,
            blocks: self.blocks.clone(),
        }
    }

    /// The KV cache that the request needs at its end.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }

    /// The shape of the request for an agent, one of `parts` that share it; `alone`
    /// if nothing else may run with it.
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
