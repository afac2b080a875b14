//! Catalogue of the embedded system.

use tempfile::TempDir;

use super::Result;

/// API key of the organisation in the catalogue.
pub const KEY: &str = "example-key-of-office-demo";
/// Model that every engine serves.
pub const MODEL: &str = "m1";
/// Name of the plain service.
pub(super) const SERVICE: &str = "desk";

const SOURCE: &str = include_str!("../../../examples/demo/office-demo.yaml");

/// Writes the catalogue to a temporary folder.
pub(super) fn write() -> Result<TempDir> {
    let dir = TempDir::new()?;
    std::fs::write(dir.path().join("office-demo.yaml"), SOURCE)?;
    Ok(dir)
}
