//! What moves a stop on.

crate::label! {
    /// The events of the chart `drain.yaml`.
    pub enum DrainEvent {
        /// The process is asked to stop, once more.
        Stop = "stop",
        /// The balancer has had time to stop sending.
        GraceOver = "grace_over",
        /// No request has been in hand for a while.
        Quiet = "quiet",
        /// The time of the last request in hand has passed.
        Expired = "expired",
    }
}
