//! Numbers that the platform's store gives out.

crate::quantity! {
    /// The store's revision at which a key was last written; zero means that it is absent.
    pub struct Version(u64), "";
}

crate::quantity! {
    /// A lease of the store, with which its keys end.
    pub struct LeaseId(u64), "";
}

impl Version {
    /// The version of a key that does not exist.
    pub const ABSENT: Self = Self::ZERO;
}
