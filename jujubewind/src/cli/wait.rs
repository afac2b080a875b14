//! Waiting until a revision is in force at every entry.

use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::time::Instant;

use serde::Serialize;

use super::Result;
use super::entry_client::EntryClient;
use super::options::Wait;
use crate::types::Millis;
use crate::types::Revision;

/// How often the entries are asked.
const PERIOD: Millis = Millis(100);

/// How a wait ended.
#[derive(Clone, Debug, Serialize)]
pub struct WaitReport {
    /// Whether every entry has the revision or a later one.
    pub everywhere: bool,
    /// How long that took since the change was accepted.
    pub took: Millis,
    /// The entries that lag, with the revision in force there; none for a silent one.
    pub behind: Vec<Behind>,
}

/// An entry that lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Behind {
    entry: SocketAddr,
    revision: Option<Revision>,
}

/// Asks the entries until all have `revision` or a later one, or the time is up.
///
/// # Errors
/// No client can be set up.
pub async fn wait(revision: Revision, options: &Wait) -> Result<WaitReport> {
    let client = EntryClient::new()?;
    let start = Instant::now();
    let mut seen = None;
    loop {
        let behind = behind(&client, revision, &options.entries.0).await;
        let took = Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        if behind.is_empty() || took >= options.timeout {
            let everywhere = behind.is_empty();
            return Ok(WaitReport {
                everywhere,
                took,
                behind,
            });
        }
        if seen.as_ref() != Some(&behind) {
            progress(revision, options.entries.0.len(), &behind);
            seen = Some(behind);
        }
        compio::time::sleep(PERIOD.duration()).await;
    }
}

async fn behind(client: &EntryClient, revision: Revision, addrs: &[SocketAddr]) -> Vec<Behind> {
    let asks = addrs.iter().map(async |addr| {
        let status = client.status(*addr).await;
        let revision = status.ok().map(|status| status.revision);
        Behind {
            entry: *addr,
            revision,
        }
    });
    let mut answers = futures::future::join_all(asks).await;
    answers.retain(|one| one.revision.is_none_or(|known| known < revision));
    answers
}

/// One line each time something changed, so that it reads well in a log too.
fn progress(revision: Revision, count: usize, behind: &[Behind]) {
    let done = count - behind.len();
    let lagging: Vec<String> = behind.iter().map(ToString::to_string).collect();
    let lagging = lagging.join(", ");
    eprintln!("waiting: revision {revision} at {done} of {count} entries; behind: {lagging}");
}

impl Display for Behind {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self.revision {
            Some(revision) => write!(f, "{} at {revision}", self.entry),
            None => write!(f, "{} silent", self.entry),
        }
    }
}

impl Display for WaitReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        if self.everywhere {
            return write!(f, "in force at every entry after {}", self.took);
        }
        write!(f, "not yet in force everywhere after {}:", self.took)?;
        for one in &self.behind {
            write!(f, "\n    {one}")?;
        }
        f.write_str("\nthe change is accepted and will come into force; look with `jujube status`")
    }
}
