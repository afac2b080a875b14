//! The phase of an attempt at the engine.

crate::label! {
    /// The phases of an attempt at an agent.
    pub enum Phase {
        /// Not yet submitted to the engine.
        Waiting = "waiting",
        /// The engine processes the prompt.
        Prefill = "prefill",
        /// The engine generates the output.
        Decode = "decode",
        /// The engine exports the KV cache.
        Pausing = "pausing",
        /// The KV cache is exported and its memory is free.
        Paused = "paused",
        /// The engine was told to stop it.
        Ending = "ending",
    }
}

impl Phase {
    /// Whether the attempt uses a batch slot and memory of the engine.
    #[must_use]
    pub const fn in_engine(self) -> bool {
        !matches!(self, Self::Waiting | Self::Paused)
    }
}
