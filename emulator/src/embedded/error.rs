//! What can go wrong in the embedded system.

use jujubewind::types::ParseError;

/// A fault of the embedded system.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A port, thread or folder cannot be had.
    #[error("cannot set up the system; choose another --port or free some resources")]
    Setup(#[from] std::io::Error),
    /// A name of a part is not valid.
    #[error("cannot name a part; choose fewer engines")]
    Name(#[from] ParseError),
    /// A part cannot be asked over HTTP.
    #[error("a part does not answer; see its log")]
    Client(#[from] cyper::Error),
    /// A daemon ended by itself.
    #[error("a daemon ended early: {0:#}; see examples/demo and its log")]
    Ended(anyhow::Error),
    /// The parts did not find each other.
    #[error("the system was not ready within {0}; the machine may be too busy, try again")]
    NotReady(jujubewind::types::Millis),
}

/// A result of the embedded system.
pub type Result<T> = std::result::Result<T, Error>;
