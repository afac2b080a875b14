//! One attempt as an agent's scheduler sees it.

use crate::types::AttemptId;
use crate::types::Class;
use crate::types::Millis;
use crate::types::OrgId;
use crate::types::Tokens;

crate::data! {
    /// The shape of an attempt, and the time it has left.
    pub struct Job {
        /// The attempt.
        pub attempt: AttemptId,
        /// The organisation that pays.
        pub org: OrgId,
        /// The class of work.
        pub class: Class,
        /// The length of the prompt.
        pub prompt: Tokens,
        /// How much of the prompt is cached here.
        pub cached: Tokens,
        /// The longest answer allowed.
        pub output: Tokens,
        /// Engines that share the prompt; more than one for a group.
        pub parts: u64,
        /// The time left to the request.
        pub remaining: Millis,
    }
}

impl Job {
    /// The KV cache that the attempt needs here at its end.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        let whole = self.prompt.saturating_add(self.output).get();
        Tokens(whole.div_ceil(self.parts.max(1)))
    }
}
