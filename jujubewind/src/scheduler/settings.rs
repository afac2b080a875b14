//! The scheduler's parameters.

use super::Order;
use crate::types::Millis;
use crate::types::Tokens;

crate::data! {
    /// The limits of one engine and the scheduling parameters.
    pub struct Settings {
        /// KV cache of the engine, in tokens.
        pub capacity: Tokens,
        /// KV cache reserved for short work.
        pub short_memory: Tokens,
        /// Batch slots: attempts that the engine runs at once.
        pub slots: usize,
        /// Batch slots reserved for short work.
        pub short_slots: usize,
        /// The length from which a prompt counts as long.
        pub long_prompt: Tokens,
        /// Attempts in prefill at once.
        pub prefill_window: usize,
        /// Attempts with long prompts in prefill at once.
        pub long_window: usize,
        /// The most attempts that may wait.
        pub max_waiting: usize,
        /// Memory promised to waiting work, as a multiple of the capacity.
        pub overcommit: u64,
        /// The queueing discipline.
        pub order: Order,
        /// Lifetime of an attempt that is not renewed.
        pub ttl: Millis,
        /// The most pauses of one attempt.
        pub max_pauses: u32,
        /// Whether work that is predicted to miss its deadline is refused.
        pub admission: bool,
        /// Whether organisations above their share are ranked lower.
        pub fair_share: bool,
    }
}

impl Settings {
    /// Settings for an engine with `capacity` tokens of KV cache and `slots` batch slots.
    #[must_use]
    pub fn for_engine(capacity: Tokens, slots: usize) -> Self {
        Self {
            capacity,
            short_memory: Tokens(capacity.get() / 8),
            slots,
            short_slots: slots / 4,
            long_prompt: Tokens(32_768),
            prefill_window: 4,
            long_window: 2,
            max_waiting: 2_000,
            overcommit: 8,
            order: Order::Laxity,
            ttl: Millis(10_000),
            max_pauses: 3,
            admission: true,
            fair_share: true,
        }
    }

    /// Whether a prompt of this length counts as long work.
    #[must_use]
    pub fn is_long(&self, prompt: Tokens) -> bool {
        prompt >= self.long_prompt
    }
}
