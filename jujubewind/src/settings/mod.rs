//! Settings files of the daemons: YAML, checked as a whole before anything starts.

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

/// Settings that can say what is wrong with them.
pub trait Validate: DeserializeOwned {
    /// Checks the values against one another.
    ///
    /// # Errors
    /// A value is out of its range; the error names key, value and remedy.
    fn validate(&self) -> Result<()>;
}

/// Reads and checks a settings file.
///
/// # Errors
/// The file cannot be read, has an unknown key or a value of the wrong form, or fails its checks.
pub fn read<T: Validate>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::unreadable(path, cause))?;
    parse(&text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// The text has an unknown key or a value of the wrong form, or fails its checks.
pub fn parse<T: Validate>(text: &str) -> Result<T> {
    let settings: T = serde_norway::from_str(text)?;
    settings.validate()?;
    Ok(settings)
}
