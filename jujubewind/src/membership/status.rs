//! The liveness of a member.

crate::label! {
    /// The liveness of a member. Between records of equal version, the later variant wins.
    pub enum Status {
        /// Its heartbeats arrive.
        Alive = "alive",
        /// Neither heartbeats nor answers to probes arrive.
        Suspect = "suspect",
        /// It stayed silent, or announced that it stopped.
        Dead = "dead",
    }
}
