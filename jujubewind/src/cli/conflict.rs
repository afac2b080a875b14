//! Reports a conflicting change by another operator.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;

use super::PlatformClient;
use super::Result;
use super::platform_client::TextCache;
use crate::catalogue::Catalogue;
use crate::catalogue::Diff;
use crate::catalogue::publish::Conflict;
use crate::types::Revision;

/// The conflicting change, with its author.
#[derive(Clone, Debug, Serialize)]
pub struct ConflictReport {
    base: Revision,
    current: Option<Revision>,
    author: Option<String>,
    changes: Option<Diff>,
}

impl ConflictReport {
    /// Reads both revisions; what cannot be read is omitted, since the conflict exists regardless.
    pub async fn explain(
        platform: &PlatformClient,
        conflict: Conflict,
        cache: &mut TextCache,
    ) -> Self {
        let changes = read_changes(platform, &conflict, cache).await;
        let current = conflict.current;
        Self {
            base: conflict.base,
            current: current.as_ref().map(|head| head.revision),
            author: current.map(|head| head.author),
            changes: changes.unwrap_or_default(),
        }
    }
}

async fn read_changes(
    platform: &PlatformClient,
    conflict: &Conflict,
    cache: &mut TextCache,
) -> Result<Option<Diff>> {
    let Some(current) = &conflict.current else {
        return Ok(None);
    };
    let before = if conflict.base == Revision::ZERO {
        Catalogue::default()
    } else {
        match platform.head_at(conflict.base).await? {
            Some(head) => platform.catalogue(&head, cache).await?,
            None => return Ok(None),
        }
    };
    let after = platform.catalogue(current, cache).await?;
    Ok(Some(Diff::between(&before, &after)))
}

impl Display for ConflictReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "conflict: the change was made against revision {}",
            self.base
        )?;
        let Some(current) = self.current else {
            return f.write_str(
                ", but the platform holds no catalogue; nothing was changed.\n\
                 Check the platform's address, or apply with --base 0.",
            );
        };
        let author = self.author.as_deref().unwrap_or("unknown");
        writeln!(
            f,
            ", but revision {current} by {author} is in force; nothing was changed."
        )?;
        match &self.changes {
            Some(changes) => write!(f, "Changed since revision {}:\n{changes}", self.base)?,
            None => writeln!(
                f,
                "What changed since revision {} cannot be read.",
                self.base
            )?,
        }
        write!(
            f,
            "Merge these changes into the folder, then apply with --base {current}."
        )
    }
}
