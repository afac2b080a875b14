//! The scheduler's parameters.

use super::Order;
use crate::types::Millis;
use crate::types::Tokens;

crate::data! {
    /// What one engine can hold, and how it is shared.
    pub struct Settings {
        /// KV cache of the engine.
        pub capacity: Tokens,
        /// KV cache that long work cannot take.
        pub short_memory: Tokens,
        /// Attempts that the engine runs at once.
        pub slots: usize,
        /// Batch slots that long work cannot take.
        pub short_slots: usize,
        /// The length from which a prompt is long.
        pub long_prompt: Tokens,
        /// Attempts whose prompts the engine is given to read at once.
        pub prefill_window: usize,
        /// Long prompts among them.
        pub long_window: usize,
        /// Attempts that may wait.
        pub max_waiting: usize,
        /// Memory promised to waiting work, as a multiple of the capacity.
        pub overcommit: u64,
        /// Who goes next.
        pub order: Order,
        /// How long an attempt lives without being renewed.
        pub ttl: Millis,
        /// How often one attempt may be paused.
        pub max_pauses: u32,
        /// Whether work that is not predicted to end in time is refused.
        pub admission: bool,
        /// Whether organisations above their share go later.
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
