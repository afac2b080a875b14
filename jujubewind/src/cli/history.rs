//! `catalogue history`: lists the changes of the catalogue.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;

use super::Error;
use super::PlatformClient;
use super::Result;
use super::options::HistoryOptions;
use super::output::Report;
use crate::catalogue::Head;
use crate::catalogue::UnixTime;
use crate::types::ChangeId;
use crate::types::Revision;

/// The changes, newest first.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryReport {
    changes: Vec<HistoryLine>,
}

/// One change.
#[derive(Clone, Debug, Serialize)]
struct HistoryLine {
    revision: Revision,
    change: ChangeId,
    author: String,
    time: UnixTime,
}

/// Reads the changes, with one call to the store per change.
///
/// # Errors
/// The platform does not answer or holds no catalogue.
pub async fn history(options: &HistoryOptions) -> Result<HistoryReport> {
    let platform = PlatformClient::new(options.platform)?;
    let head = platform.head().await?.ok_or(Error::NoCatalogue)?;
    let mut revision = head.revision;
    let mut changes = vec![HistoryLine::new(head)];
    while changes.len() < options.limit && revision > Revision(1) {
        revision = revision.saturating_sub(Revision(1));
        match platform.past_head(revision).await? {
            Some(head) => changes.push(HistoryLine::new(head)),
            None => break,
        }
    }
    Ok(HistoryReport { changes })
}

impl HistoryLine {
    fn new(head: Head) -> Self {
        Self {
            revision: head.revision,
            change: head.change,
            author: head.author,
            time: head.time,
        }
    }
}

impl Report for HistoryReport {}

impl Display for HistoryReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for line in &self.changes {
            let time = line.time.get();
            writeln!(
                f,
                "revision {} by {} at unix time {time}, change {}",
                line.revision, line.author, line.change
            )?;
        }
        Ok(())
    }
}
