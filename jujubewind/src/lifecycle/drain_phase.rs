//! How far a stop has come.

crate::label! {
    /// The phases of a stop; from the first one on, readiness fails.
    pub enum DrainPhase {
        /// The balancer may still send, so new requests are taken.
        Accepting = "accepting",
        /// New requests are refused, those in hand go on.
        Refusing = "refusing",
        /// Nothing is left to wait for.
        Ended = "ended",
    }
}
