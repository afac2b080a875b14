//! The orders in which waiting work can be taken.

crate::label! {
    /// What decides who goes next, compared in `docs/ROUTING.md`.
    pub enum Order {
        /// First come, first served.
        Arrival = "arrival",
        /// The least remaining prefill, weighted by class.
        Shortest = "shortest",
        /// As shortest, less a part of the time waited.
        Aging = "aging",
        /// The earliest deadline within a class.
        Deadline = "deadline",
        /// As shortest, shrinking to nothing as the time left nears the time needed.
        Laxity = "laxity",
    }
}
