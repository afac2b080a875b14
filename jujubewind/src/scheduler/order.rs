//! The orders in which waiting work can be served.

crate::label! {
    /// The queueing discipline; the options are compared in `docs/ROUTING.md`.
    pub enum Order {
        /// First come, first served.
        Arrival = "arrival",
        /// Shortest remaining prefill first, weighted by class.
        Shortest = "shortest",
        /// As shortest, minus a share of the time waited.
        Aging = "aging",
        /// Earliest deadline first within a class.
        Deadline = "deadline",
        /// As shortest, scaled down to zero as the slack before the deadline shrinks.
        Laxity = "laxity",
    }
}
