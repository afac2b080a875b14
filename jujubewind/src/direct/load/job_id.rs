//! The number of a request within its entry.

crate::quantity! {
    /// A request's number, unique within one run of the entry's process.
    pub struct JobId(u64), "";
}
