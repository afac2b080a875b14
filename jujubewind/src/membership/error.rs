//! What can be wrong with a line of the platform's list.

use crate::types::ParseError;

/// A line of the platform's list that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A name has no valid form.
    #[error("line of the VM list cannot be used: {0}; correct it at the platform")]
    Name(#[from] ParseError),
    /// The address has no valid form.
    #[error("line of the VM list has the address `{0}`; write IP:PORT at the platform")]
    Address(String),
}

/// A result of reading the platform's list.
pub type Result<T> = std::result::Result<T, Error>;
