//! Kinds of calls to the platform's service, for call counts.

use super::Op;

crate::label! {
    /// The kind of a call to the platform's service.
    pub enum CallKind {
        /// Reads a key or a prefix.
        Read = "read",
        /// Writes or deletes keys.
        Write = "write",
        /// Grants or renews a lease.
        Lease = "lease",
        /// Opens a watch.
        Watch = "watch",
        /// Reads the list of VMs.
        Vms = "vms",
    }
}

impl CallKind {
    /// The kind of `op`.
    #[must_use]
    pub const fn of(op: &Op) -> Self {
        match op {
            Op::Get(_) | Op::List(_) => Self::Read,
            Op::Put { .. } | Op::Delete(_) | Op::CompareAndSwap(_) | Op::Commit(_) => Self::Write,
            Op::GrantLease(_) | Op::KeepAlive(_) => Self::Lease,
        }
    }
}
