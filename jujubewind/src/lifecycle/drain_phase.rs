//! Phases of a drain.

crate::label! {
    /// The phases of a drain; the daemon is not ready in any of them.
    pub enum DrainPhase {
        /// The load balancer may still send requests, so they are accepted.
        Accepting = "accepting",
        /// New requests are refused; open requests continue.
        Refusing = "refusing",
        /// The process may exit.
        Ended = "ended",
    }
}
