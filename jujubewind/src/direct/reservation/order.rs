//! Orders about reserved memory.

crate::label! {
    /// An order to an engine.
    pub enum Order {
        /// Reserves memory, or renews the reservation of the same identifier.
        Reserve = "reserve",
        /// Ends a reservation.
        Release = "release",
    }
}
