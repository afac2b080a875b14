//! Waiting until a revision is in force at every entry.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::time::Instant;

use serde::Serialize;

use super::Result;
use super::Warning;
use super::entry_client::EntryClient;
use super::options::Wait;
use crate::entry::EntryStatus;
use crate::membership::Role;
use crate::types::Millis;
use crate::types::NodeId;
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
        let statuses = ask(&client, &options.entries.0).await;
        let behind = behind(revision, &statuses);
        let took = Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        if behind.is_empty() || took >= options.timeout {
            if behind.is_empty() {
                warn_of_unnamed(&statuses);
            }
            return Ok(WaitReport {
                everywhere: behind.is_empty(),
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

/// What an entry answered, or nothing.
type Answer = (SocketAddr, Option<EntryStatus>);

async fn ask(client: &EntryClient, addrs: &[SocketAddr]) -> Vec<Answer> {
    let asks = addrs
        .iter()
        .map(async |addr| (*addr, client.status(*addr).await.ok()));
    futures::future::join_all(asks).await
}

fn behind(revision: Revision, answers: &[Answer]) -> Vec<Behind> {
    let lines = answers.iter().map(|(addr, status)| Behind {
        entry: *addr,
        revision: status.as_ref().map(|status| status.revision),
    });
    lines
        .filter(|one| one.revision.is_none_or(|known| known < revision))
        .collect()
}

/// Entries that the others know, but whose revision nobody asked for.
fn warn_of_unnamed(answers: &[Answer]) {
    let statuses = || answers.iter().filter_map(|(_, status)| status.as_ref());
    let named: BTreeSet<&NodeId> = statuses().map(|status| &status.node).collect();
    let members = statuses().flat_map(|status| &status.members);
    let entries: BTreeSet<&NodeId> = members
        .filter(|member| member.role == Role::Entry.as_str() && !member.leaving)
        .map(|member| &member.node)
        .collect();
    for node in entries.difference(&named) {
        Warning::Unnamed((*node).clone()).print();
    }
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
