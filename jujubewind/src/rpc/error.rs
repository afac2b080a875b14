//! What can go wrong between two of our processes.

use std::net::SocketAddr;

/// A failed call; whether the other side acted on it is not known unless the kind says so.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection came about, so nothing was sent.
    #[error("cannot connect to {0}: {1}; check the address and that the process runs")]
    Connect(SocketAddr, std::io::Error),
    /// The call was sent, or may have been, and no answer came.
    #[error("no answer from {0}: {1}; ask again or treat the outcome as unknown")]
    NoAnswer(SocketAddr, tarpc::client::RpcError),
}

/// A result of a call between two of our processes.
pub type Result<T> = std::result::Result<T, Error>;
