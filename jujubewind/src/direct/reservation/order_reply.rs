//! Replies to orders about reserved memory.

crate::label! {
    /// How an engine replied to an order.
    pub enum OrderReply {
        /// It carried out the order.
        Done = "done",
        /// It did not carry out the order and may do so later if asked again.
        Refused = "refused",
        /// It has restarted since and holds nothing of before.
        Restarted = "restarted",
        /// No reply arrived: the order may have been carried out, or may be later.
        Missing = "missing",
    }
}
