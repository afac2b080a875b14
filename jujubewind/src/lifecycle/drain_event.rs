//! Events of a drain.

crate::label! {
    /// The events of the chart `drain.yaml`.
    pub enum DrainEvent {
        /// Another stop signal arrived.
        Stop = "stop",
        /// The load balancer has had time to stop sending requests.
        GraceOver = "grace_over",
        /// No request has been open for the settle time.
        Quiet = "quiet",
        /// The deadline of the last open request has passed.
        Expired = "expired",
    }
}
