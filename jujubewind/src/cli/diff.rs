//! `catalogue diff`: shows what applying a folder would change.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;

use super::PlatformClient;
use super::Result;
use super::options::DiffOptions;
use super::output::Report;
use crate::catalogue::Catalogue;
use crate::catalogue::Diff;
use crate::catalogue::Tree;
use crate::types::Revision;

/// The result of `catalogue diff`.
#[derive(Clone, Debug, Serialize)]
pub struct DiffReport {
    revision: Revision,
    changes: Diff,
}

/// Compares a folder with the catalogue in force.
///
/// # Errors
/// The folder is invalid, or the platform does not answer.
pub async fn diff(options: &DiffOptions) -> Result<DiffReport> {
    let desired = Catalogue::read_dir(&options.dir)?;
    let platform = PlatformClient::new(options.platform)?;
    let mut cache = Tree::of(&desired).texts;
    let current = match platform.head().await? {
        Some(head) => platform.catalogue(&head, &mut cache).await?,
        None => Catalogue::default(),
    };
    Ok(DiffReport {
        revision: current.revision(),
        changes: Diff::between(&current, &desired),
    })
}

impl Report for DiffReport {}

impl Display for DiffReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let count = self.changes.entries.len();
        writeln!(f, "{count} entries differ from revision {}", self.revision)?;
        write!(f, "{}", self.changes)
    }
}
