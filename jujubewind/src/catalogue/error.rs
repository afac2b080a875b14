//! Why a catalogue is refused.

use std::path::PathBuf;

use super::Faults;

/// A catalogue that was refused whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory or a file in it cannot be read.
    #[error("cannot read {0}: {1}; check the path and its permissions")]
    Unreadable(PathBuf, std::io::Error),
    /// The directory holds no catalogue.
    #[error("no .yaml file in {0}; name the directory that holds the catalogue")]
    Empty(PathBuf),
    /// The catalogue breaks its rules.
    #[error("{0}")]
    Invalid(Faults),
}

/// A result of reading a catalogue.
pub type Result<T> = std::result::Result<T, Error>;
