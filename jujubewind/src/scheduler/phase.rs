//! Where an attempt stands.

crate::label! {
    /// The phases of an attempt at an agent.
    pub enum Phase {
        /// Not yet handed to the engine.
        Waiting = "waiting",
        /// The engine reads the prompt.
        Prefill = "prefill",
        /// The engine writes the answer.
        Decode = "decode",
        /// The engine exports the KV cache.
        Pausing = "pausing",
        /// The KV cache lies outside the engine.
        Paused = "paused",
        /// The engine was told to stop it.
        Ending = "ending",
    }
}

impl Phase {
    /// Whether the attempt takes a batch slot and memory of the engine.
    #[must_use]
    pub const fn in_engine(self) -> bool {
        !matches!(self, Self::Waiting | Self::Paused)
    }
}
