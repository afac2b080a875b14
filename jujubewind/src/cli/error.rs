//! Errors of the commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::Exit;
use crate::catalogue;
use crate::catalogue::ContentHash;
use crate::store;
use crate::types::Revision;

/// Why a command failed; the message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The catalogue is invalid or cannot be read.
    #[error("{0}")]
    Catalogue(#[from] catalogue::Error),
    /// The runtime could not be started.
    #[error("the command cannot start: {0}; free memory and file handles, then try again")]
    Start(#[from] std::io::Error),
    /// The client for the platform could not be created.
    #[error("{0}")]
    Store(#[from] store::Error),
    /// The client for the entries could not be created.
    #[error("the HTTP client cannot start: {0}; free file handles, then try again")]
    Http(#[from] cyper::Error),
    /// The platform does not answer.
    #[error("no answer from the platform at {0}; nothing was changed, try again later")]
    PlatformDown(SocketAddr),
    /// The entry does not answer.
    #[error("no usable answer from the entry at {0}: {1}; check the address or ask another entry")]
    EntryDown(SocketAddr, String),
    /// The entry refused the request.
    #[error("the entry at {0} refuses: {1}")]
    EntryRefused(SocketAddr, String),
    /// None of the entries answers.
    #[error("none of the entries answers; check the addresses given with --entries")]
    NoEntry,
    /// The platform holds no catalogue.
    #[error("the platform holds no catalogue yet; publish one with `jujube catalogue apply`")]
    NoCatalogue,
    /// The platform has no such revision.
    #[error("the platform keeps no revision {0}; `jujube catalogue history` lists those it has")]
    NoRevision(Revision),
    /// The stored head cannot be parsed.
    #[error("the stored head cannot be read; use the version of `jujube` that wrote it")]
    BadHead,
    /// A log cannot be read.
    #[error("cannot read the log {0}: {1}; check the path")]
    NoLog(PathBuf, std::io::Error),
    /// No log mentions the request.
    #[error("no line about request {0}; give the logs of all entries, from before it was sent")]
    NoLines(String),
    /// A page or part is missing, or its content does not match its hash.
    #[error("the stored text {0} is missing or damaged; apply the catalogue again")]
    BadText(ContentHash),
}

impl Error {
    /// The exit code.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::PlatformDown(_) | Self::EntryDown(..) | Self::NoEntry => Exit::NoAnswer,
            _ => Exit::Refused,
        }
    }
}

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;
