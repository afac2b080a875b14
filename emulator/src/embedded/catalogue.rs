//! The catalogue of the embedded system.

use tempfile::TempDir;

use super::Result;

/// The key of the office in the catalogue.
pub const KEY: &str = "example-key-of-office-demo";
/// The model that every engine serves.
pub const MODEL: &str = "m1";
/// The plain service.
pub(super) const SERVICE: &str = "desk";

const TEXT: &str = include_str!("../../../examples/demo/office-demo.yaml");

/// Writes the catalogue into a folder that is removed when dropped.
pub(super) fn write() -> Result<TempDir> {
    let dir = TempDir::new()?;
    std::fs::write(dir.path().join("office-demo.yaml"), TEXT)?;
    Ok(dir)
}
