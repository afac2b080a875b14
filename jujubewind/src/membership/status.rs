//! How sure we are that a member lives.

crate::label! {
    /// The liveness of a member; between records of equal version the later one here holds.
    pub enum Status {
        /// Its heartbeats arrive.
        Alive = "alive",
        /// Neither heartbeats nor answers to probes arrive.
        Suspect = "suspect",
        /// It stayed silent, or said that it stopped.
        Dead = "dead",
    }
}
