//! Errors of the embedded system.

use jujubewind::types::ParseError;

/// Error of the embedded system.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A port, thread or folder cannot be created.
    #[error("cannot set up the system; choose another --port or free some resources")]
    Setup(#[from] std::io::Error),
    /// A component name is not valid.
    #[error("component name is not valid; choose fewer engines")]
    Name(#[from] ParseError),
    /// A component does not respond over HTTP.
    #[error("a component does not respond; see its log")]
    Client(#[from] cyper::Error),
    /// A daemon exited on its own.
    #[error("a daemon exited early: {0:#}; see examples/demo and its log")]
    Ended(anyhow::Error),
    /// The components did not discover each other in time.
    #[error("the system was not ready within {0}; the machine may be too busy, try again")]
    NotReady(jujubewind::types::Millis),
}

/// Result of an operation on the embedded system.
pub type Result<T> = std::result::Result<T, Error>;
