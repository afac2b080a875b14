//! The properties of an attempt that the scheduler uses.

use crate::types::AttemptId;
use crate::types::Class;
use crate::types::Millis;
use crate::types::OrgId;
use crate::types::Tokens;

crate::data! {
    /// The size of an attempt and its remaining time.
    pub struct Job {
        /// The attempt.
        pub attempt: AttemptId,
        /// The organisation that is charged.
        pub org: OrgId,
        /// The request class.
        pub class: Class,
        /// The length of the prompt.
        pub prompt: Tokens,
        /// The part of the prompt that this engine has cached.
        pub cached: Tokens,
        /// The longest output allowed.
        pub output: Tokens,
        /// Number of engines that share the prefill; more than one for a group.
        pub parts: u64,
        /// The time left until the request's deadline.
        pub remaining: Millis,
    }
}

impl Job {
    /// The KV cache that the attempt needs on this engine by its end.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        let total = self.prompt.saturating_add(self.output).get();
        Tokens(total.div_ceil(self.parts.max(1)))
    }
}
