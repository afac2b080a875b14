//! `catalogue apply`: publishes a folder as the catalogue, atomically.

use std::collections::HashSet;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::SystemTime;

use serde::Serialize;

use super::Exit;
use super::PlatformClient;
use super::Result;
use super::Warning;
use super::conflict::ConflictReport;
use super::options::ApplyOptions;
use super::output::Report;
use super::wait;
use super::wait::WaitReport;
use crate::catalogue::Catalogue;
use crate::catalogue::Tree;
use crate::catalogue::UnixTime;
use crate::catalogue::publish::Base;
use crate::catalogue::publish::Change;
use crate::catalogue::publish::PublishOutcome;
use crate::catalogue::publish::Publisher;
use crate::types::ChangeId;
use crate::types::Revision;

/// The result of `catalogue apply`.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyReport {
    /// The folder is now the catalogue.
    Accepted {
        /// Its revision.
        revision: Revision,
        /// How the wait ended, if there was one.
        wait: Option<WaitReport>,
    },
    /// The folder was already the catalogue.
    Unchanged {
        /// Its revision.
        revision: Revision,
        /// How the wait ended, if there was one.
        wait: Option<WaitReport>,
    },
    /// Another operator changed the catalogue first.
    Conflict(ConflictReport),
    /// The answer was lost and the platform does not respond.
    Unknown {
        /// The change, which the history lists if it took effect.
        change: ChangeId,
    },
}

/// Publishes a folder.
///
/// # Errors
/// The folder is invalid, or the platform does not answer; nothing was changed.
pub async fn apply(options: &ApplyOptions) -> Result<ApplyReport> {
    let desired = Catalogue::read_dir(&options.dir)?;
    if options.base.is_none() {
        Warning::NoBase.print();
    }
    let platform = PlatformClient::new(options.platform)?;
    let tree = Tree::of(&desired);
    let mut cache = tree.texts.clone();
    let stored = match platform.head().await? {
        Some(head) => platform.stored_hashes(&head, &mut cache).await?,
        None => HashSet::new(),
    };
    let publisher = Publisher::new(new_change(options), tree, stored);
    match platform.publish(publisher).await {
        PublishOutcome::Accepted(revision) => {
            let wait = wait_for(revision, options).await?;
            Ok(ApplyReport::Accepted { revision, wait })
        }
        PublishOutcome::Unchanged(revision) => {
            let wait = wait_for(revision, options).await?;
            Ok(ApplyReport::Unchanged { revision, wait })
        }
        PublishOutcome::Conflict(conflict) => {
            let report = ConflictReport::explain(&platform, conflict, &mut cache).await;
            Ok(ApplyReport::Conflict(report))
        }
        PublishOutcome::Unknown(change) => Ok(ApplyReport::Unknown { change }),
        PublishOutcome::Failed => Err(platform.no_answer_error()),
    }
}

fn new_change(options: &ApplyOptions) -> Change {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Change {
        id: ChangeId::random(&mut rand::rng()),
        author: options.author.clone(),
        time: UnixTime(since.unwrap_or_default().as_secs()),
        base: options.base.unwrap_or(Base::Latest),
    }
}

async fn wait_for(revision: Revision, options: &ApplyOptions) -> Result<Option<WaitReport>> {
    match &options.wait {
        Some(options) => wait::wait(revision, options).await.map(Some),
        None => Ok(None),
    }
}

impl Report for ApplyReport {
    fn exit(&self) -> Exit {
        match self {
            Self::Accepted { wait, .. } | Self::Unchanged { wait, .. } => match wait {
                Some(wait) if !wait.everywhere => Exit::Pending,
                _ => Exit::Success,
            },
            Self::Conflict(_) => Exit::Conflict,
            Self::Unknown { .. } => Exit::Unknown,
        }
    }
}

impl Display for ApplyReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let wait = match self {
            Self::Accepted { revision, wait } => {
                writeln!(f, "accepted: revision {revision}")?;
                wait
            }
            Self::Unchanged { revision, wait } => {
                writeln!(
                    f,
                    "unchanged: the same catalogue is revision {revision} already"
                )?;
                wait
            }
            Self::Conflict(report) => return write!(f, "{report}"),
            Self::Unknown { change } => {
                return write!(
                    f,
                    "unknown: the platform stopped answering after change {change} was sent, and \
                     it may have taken effect or may yet.\nOnce the platform answers, look for the \
                     change in `jujube catalogue history`. Applying the same folder again with \
                     --base set to the newest revision there is safe: it reports `unchanged` if \
                     the change took effect."
                );
            }
        };
        wait.as_ref().map_or(Ok(()), |wait| write!(f, "{wait}"))
    }
}
