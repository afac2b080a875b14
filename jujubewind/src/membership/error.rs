//! Errors in the platform's VM list.

use crate::types::ParseError;

/// An invalid line of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A name does not parse.
    #[error("line of the VM list cannot be used: {0}; correct it at the platform")]
    Name(#[from] ParseError),
    /// The address does not parse.
    #[error("line of the VM list has the address `{0}`; write IP:PORT at the platform")]
    Address(String),
}

/// The result of parsing a line of the VM list.
pub type Result<T> = std::result::Result<T, Error>;
