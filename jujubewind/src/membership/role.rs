//! The role of a process.

crate::label! {
    /// The role of a process in the cluster.
    pub enum Role {
        /// Accepts callers' requests; holds a view of all members.
        Entry = "entry",
        /// Runs next to a backend server; knows the entries it reports to.
        Agent = "agent",
    }
}
