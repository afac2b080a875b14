//! The state that a backend server publishes.

crate::label! {
    /// Whether a backend server accepts new requests.
    pub enum ServerState {
        /// It accepts new requests.
        Ready = "ready",
        /// It finishes its running requests and then shuts down.
        Draining = "draining",
    }
}
