//! YAML settings files of the daemons, validated before a daemon starts.

mod agent_settings;
mod backend;
mod entry_settings;
mod error;

use std::path::Path;

pub use agent_settings::AgentSettings;
pub use backend::Backend;
pub use entry_settings::EntrySettings;
pub use error::Error;
pub use error::Result;
use serde::de::DeserializeOwned;

/// Settings that can be validated.
pub trait Validate: DeserializeOwned {
    /// Validates the values.
    ///
    /// # Errors
    /// Fails if a value is out of range; the error names key, value and remedy.
    fn validate(&self) -> Result<()>;
}

/// Reads and validates a settings file.
///
/// # Errors
/// Fails if the file cannot be read, has an unknown key or an invalid value.
pub fn read<T: Validate>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::unreadable(path, cause))?;
    parse(&text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
/// Fails if the text has an unknown key or an invalid value.
pub fn parse<T: Validate>(text: &str) -> Result<T> {
    let settings: T = serde_norway::from_str(text)?;
    settings.validate()?;
    Ok(settings)
}
