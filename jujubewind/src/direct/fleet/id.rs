//! The identifier of a backend server.

crate::name! {
    /// Identifies a backend server; a replacement at the same address has another identifier.
    pub struct ServerId;
}
