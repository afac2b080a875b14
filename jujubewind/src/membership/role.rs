//! What a process is for.

crate::label! {
    /// The role of a process of ours.
    pub enum Role {
        /// Takes callers' requests; holds a view of all members.
        Entry = "entry",
        /// Stands beside a backend server; knows the entries it reports to.
        Agent = "agent",
    }
}
