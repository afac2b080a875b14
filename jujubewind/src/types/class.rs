//! Urgency classes of catalogue entries.

crate::label! {
    /// How urgent a request is; variants are ordered from most to least urgent.
    pub enum Class {
        /// A user at a service counter waits for a short answer, such as a balance or a lookup.
        Urgent = "urgent",
        /// A user waits for the answer; the prompt can have any length.
        Interactive = "interactive",
        /// Nobody waits; the answer can be delayed, at most overnight.
        Batch = "batch",
    }
}
