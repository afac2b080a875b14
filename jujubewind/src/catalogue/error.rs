//! Errors of loading a catalogue.

use std::path::PathBuf;

use super::Faults;

/// Why a catalogue could not be loaded; no part of it takes effect.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory or a file in it cannot be read.
    #[error("cannot read {0}: {1}; check the path and its permissions")]
    Unreadable(PathBuf, std::io::Error),
    /// The directory contains no catalogue file.
    #[error("no .yaml file in {0}; name the directory that holds the catalogue")]
    Empty(PathBuf),
    /// The catalogue is invalid.
    #[error("{0}")]
    Invalid(Faults),
}

/// Result of loading a catalogue.
pub type Result<T> = std::result::Result<T, Error>;
