//! What can be wrong with a settings file.

use std::path::Path;
use std::path::PathBuf;

/// A fault of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {cause}; check --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The text is not what the settings type expects; the message names key and place.
    #[error("settings do not parse: {0}; correct the key or value, see docs/SETTINGS.md")]
    Syntax(#[from] serde_norway::Error),
    /// A value is out of its range.
    #[error("settings key `{key}` has the value `{value}`: {remedy}")]
    Value {
        /// The key.
        key: &'static str,
        /// The value as given.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

/// A result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    pub(super) fn unreadable(path: &Path, cause: std::io::Error) -> Self {
        Self::Unreadable {
            path: path.to_owned(),
            cause,
        }
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
