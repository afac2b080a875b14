//! Waits until a revision is in force at every entry.

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

/// How often the entries are polled.
const POLL_PERIOD: Millis = Millis(100);

/// The result of waiting.
#[derive(Clone, Debug, Serialize)]
pub struct WaitReport {
    /// Whether every entry has the revision or a later one.
    pub everywhere: bool,
    /// Time since the change was accepted.
    pub took: Millis,
    /// The lagging entries, with the revision in force there; none if the entry does not answer.
    pub behind: Vec<LaggingEntry>,
}

/// A lagging entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LaggingEntry {
    entry: SocketAddr,
    revision: Option<Revision>,
}

/// Polls the entries until all have `revision` or a later one, or the timeout expires.
///
/// # Errors
/// The HTTP client cannot be created.
pub async fn wait(revision: Revision, options: &Wait) -> Result<WaitReport> {
    let client = EntryClient::new()?;
    let start = Instant::now();
    let mut last_printed = None;
    loop {
        let statuses = poll_entries(&client, &options.entries.0).await;
        let behind = find_lagging(revision, &statuses);
        let took = Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX));
        if behind.is_empty() || took >= options.timeout {
            if behind.is_empty() {
                warn_about_unlisted(&statuses);
            }
            return Ok(WaitReport {
                everywhere: behind.is_empty(),
                took,
                behind,
            });
        }
        if last_printed.as_ref() != Some(&behind) {
            print_progress(revision, options.entries.0.len(), &behind);
            last_printed = Some(behind);
        }
        compio::time::sleep(POLL_PERIOD.duration()).await;
    }
}

/// An entry's address and its status, if it answered.
type Answer = (SocketAddr, Option<EntryStatus>);

async fn poll_entries(client: &EntryClient, addrs: &[SocketAddr]) -> Vec<Answer> {
    let queries = addrs
        .iter()
        .map(async |addr| (*addr, client.status(*addr).await.ok()));
    futures::future::join_all(queries).await
}

fn find_lagging(revision: Revision, answers: &[Answer]) -> Vec<LaggingEntry> {
    let entries = answers.iter().map(|(addr, status)| LaggingEntry {
        entry: *addr,
        revision: status.as_ref().map(|status| status.revision),
    });
    entries
        .filter(|entry| entry.revision.is_none_or(|known| known < revision))
        .collect()
}

/// Warns about entries that the polled entries know, but that are not polled themselves.
fn warn_about_unlisted(answers: &[Answer]) {
    let statuses = || answers.iter().filter_map(|(_, status)| status.as_ref());
    let listed: BTreeSet<&NodeId> = statuses().map(|status| &status.node).collect();
    let members = statuses().flat_map(|status| &status.members);
    let entries: BTreeSet<&NodeId> = members
        .filter(|member| member.role == Role::Entry.as_str() && !member.leaving)
        .map(|member| &member.node)
        .collect();
    for node in entries.difference(&listed) {
        Warning::Unlisted((*node).clone()).print();
    }
}

/// Prints a line for each change, instead of updating one line, to be readable in a log.
fn print_progress(revision: Revision, count: usize, behind: &[LaggingEntry]) {
    let done = count - behind.len();
    let lagging: Vec<String> = behind.iter().map(ToString::to_string).collect();
    let lagging = lagging.join(", ");
    eprintln!("waiting: revision {revision} at {done} of {count} entries; behind: {lagging}");
}

impl Display for LaggingEntry {
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
        for entry in &self.behind {
            write!(f, "\n    {entry}")?;
        }
        f.write_str("\nthe change is accepted and will come into force; check with `jujube status`")
    }
}
