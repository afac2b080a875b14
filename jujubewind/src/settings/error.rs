//! Errors of settings files.

use std::path::Path;
use std::path::PathBuf;

use crate::memory::ProcessMemory;

/// Why settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {cause}; check --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: std::io::Error,
    },
    /// The text does not match the settings type; the message names key and location.
    #[error("settings do not parse: {0}; correct the key or value, see docs/SETTINGS.md")]
    Syntax(#[from] serde_norway::Error),
    /// A value is out of range.
    #[error("settings key `{key}` has the value `{value}`: {remedy}")]
    Value {
        /// The key.
        key: &'static str,
        /// The configured value.
        value: String,
        /// The remedy.
        remedy: &'static str,
    },
}

/// Result of loading settings.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    pub(super) fn unreadable(path: &Path, cause: std::io::Error) -> Self {
        Self::Unreadable {
            path: path.to_owned(),
            cause,
        }
    }

    pub(super) fn too_little_memory(memory: ProcessMemory) -> Self {
        Self::value("max_memory", &memory, "write 33554432 or more bytes")
    }

    pub(super) fn value(
        key: &'static str,
        value: &(impl ToString + ?Sized),
        remedy: &'static str,
    ) -> Self {
        Self::Value {
            key,
            value: value.to_string(),
            remedy,
        }
    }
}
