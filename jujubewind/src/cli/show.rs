//! `catalogue show`: prints a catalogue revision from the platform's store.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;

use super::Error;
use super::PlatformClient;
use super::Result;
use super::options::ShowOptions;
use super::output::Report;
use super::platform_client::TextCache;
use crate::catalogue::Entry;
use crate::catalogue::UnixTime;
use crate::types::ModelId;
use crate::types::Revision;

/// One revision with its entries.
#[derive(Clone, Debug, Serialize)]
pub struct ShowReport {
    revision: Revision,
    author: String,
    time: UnixTime,
    entries: Vec<Entry>,
}

/// Reads a revision.
///
/// # Errors
/// The platform does not answer or has no such revision.
pub async fn show(options: &ShowOptions) -> Result<ShowReport> {
    let platform = PlatformClient::new(options.platform)?;
    let head = match options.revision {
        None => platform.head().await?.ok_or(Error::NoCatalogue)?,
        Some(revision) => {
            let head = platform.head_at(revision).await?;
            head.ok_or(Error::NoRevision(revision))?
        }
    };
    let catalogue = platform.catalogue(&head, &mut TextCache::new()).await?;
    Ok(ShowReport {
        revision: head.revision,
        author: head.author,
        time: head.time,
        entries: catalogue.entries().cloned().collect(),
    })
}

impl Report for ShowReport {}

impl Display for ShowReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "revision {} by {}", self.revision, self.author)?;
        for entry in &self.entries {
            let names: Vec<&str> = entry.target.names().map(ModelId::as_str).collect();
            let names = names.join(",");
            writeln!(
                f,
                "{} owner={} class={} target={names}",
                entry.id, entry.owner, entry.class
            )?;
        }
        Ok(())
    }
}
