//! The states and events of `charts/request.yaml`.

crate::label! {
    /// The state of a request.
    pub enum Phase {
        /// An agent is being chosen.
        Placing = "placing",
        /// An agent was asked to start it.
        Starting = "starting",
        /// An agent streams its tokens.
        Streaming = "streaming",
        /// The caller has the complete answer or an error.
        Ended = "ended",
    }
}

crate::label! {
    /// A state transition of a request.
    pub enum Step {
        /// An agent was chosen.
        Placed = "placed",
        /// The agent accepted the request.
        Accepted = "accepted",
        /// The attempt failed and another agent must be found.
        Retry = "retry",
        /// The answer is complete.
        Finish = "finish",
        /// The request failed without further attempts.
        GiveUp = "give_up",
    }
}
