//! Whether a route's requests may be repeated.

crate::label! {
    /// How a route's requests may be repeated.
    pub enum RouteKind {
        /// The request may run any number of times.
        Idempotent = "idempotent",
        /// The request may run once at most.
        Once = "once",
        /// The answer is a stream of events; it may run once unless it can be resumed.
        Stream = "stream",
    }
}
