//! Numbers assigned by the platform's store.

crate::quantity! {
    /// The store revision at which a key was last written; zero if the key does not exist.
    pub struct Version(u64), "";
}

crate::quantity! {
    /// A lease of the store; keys attached to it are deleted when it expires.
    pub struct LeaseId(u64), "";
}

impl Version {
    /// The version of a key that does not exist.
    pub const ABSENT: Self = Self::ZERO;
}
