//! Errors of calls between Jujubewind processes.

use std::net::SocketAddr;

/// A failed call; unless the variant says otherwise, the other side may have acted on it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened, so nothing was sent.
    #[error("cannot connect to {0}: {1}; check the address and that the process runs")]
    Connect(SocketAddr, std::io::Error),
    /// The other side had no memory for the call, which its handler has not seen.
    #[error("{0} has no memory for the call; make it later, or elsewhere")]
    NotDelivered(SocketAddr),
    /// The call was sent, or may have been, and no answer arrived.
    #[error("no answer from {0}: {1}; retry or treat the outcome as unknown")]
    NoAnswer(SocketAddr, tarpc::client::RpcError),
}

/// The result of a call between Jujubewind processes.
pub type Result<T> = std::result::Result<T, Error>;
