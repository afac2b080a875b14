//! Numbers with units.

crate::quantity! {
    /// A count of tokens.
    pub struct Tokens(u64), "tok";
}

crate::quantity! {
    /// A count of bytes.
    pub struct Bytes(u64), "B";
}

crate::quantity! {
    /// A duration in milliseconds, the unit of messages and settings.
    pub struct Millis(u64), "ms";
}

crate::quantity! {
    /// The number of a catalogue revision; the highest one is in force.
    pub struct Revision(u64), "";
}

crate::quantity! {
    /// A fencing token; an order with a lower one than the last is refused.
    pub struct Fence(u64), "";
}

crate::quantity! {
    /// Identifies one run of a process; higher after each restart.
    pub struct Incarnation(u64), "";
}

crate::quantity! {
    /// Spending credit, in thousandths of an engine-second.
    pub struct Credit(u64), "mes";
}

impl Millis {
    /// Converts to a standard library duration.
    #[must_use]
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// Converts `duration` to milliseconds, rounded down.
    #[must_use]
    pub fn from_duration(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
