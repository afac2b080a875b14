//! The states and events of `charts/request.yaml`.

crate::label! {
    /// Where a request stands.
    pub enum Phase {
        /// An agent is being chosen.
        Placing = "placing",
        /// An agent was asked to take it.
        Starting = "starting",
        /// An agent serves it.
        Streaming = "streaming",
        /// The caller has the final answer.
        Ended = "ended",
    }
}

crate::label! {
    /// What moves a request.
    pub enum Step {
        /// An agent was chosen.
        Placed = "placed",
        /// The agent took it.
        Accepted = "accepted",
        /// Another agent must be found.
        Retry = "retry",
        /// The answer is whole.
        Finish = "finish",
        /// No more tries.
        GiveUp = "give_up",
    }
}
