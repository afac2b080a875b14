//! Store requests, inputs and results of the publisher.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;
use std::sync::Arc;

use crate::catalogue::ContentHash;
use crate::catalogue::Head;
use crate::catalogue::UnixTime;
use crate::types::ChangeId;
use crate::types::ParseError;
use crate::types::Revision;

crate::quantity! {
    /// The store's version of the head key; zero if it does not exist.
    pub struct HeadVersion(u64), "";
}

/// A store call of the publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reads the head.
    ReadHead,
    /// Reads the archived head of a revision.
    ReadHistory(Revision),
    /// Writes a page or part under its content address; idempotent.
    WriteText(ContentHash, Arc<str>),
    /// Archives a head that is about to be replaced; idempotent.
    WriteHistory(Head),
    /// Replaces the head if its version in the store is still this one.
    SwapHead(HeadVersion, Head),
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The head and its version, if there is one.
    Head(Option<(HeadVersion, Head)>),
    /// The archived head, if there is one.
    History(Option<Head>),
    /// The write took effect.
    Written,
    /// The head had a different version; the swap had no effect.
    Changed,
    /// The call failed and cannot take effect later.
    Failed,
    /// No answer: the call may have taken effect or may still do so.
    Unknown,
}

/// Text form of [`Base::Latest`].
const LATEST: &str = "latest";

/// The revision that a change is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The current revision at the time of publishing.
    Latest,
    /// Exactly this revision; any other is a conflict.
    Exactly(Revision),
}

impl Display for Base {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Latest => f.write_str(LATEST),
            Self::Exactly(revision) => write!(f, "{revision}"),
        }
    }
}

impl FromStr for Base {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        if text == LATEST {
            return Ok(Self::Latest);
        }
        text.parse().map(Self::Exactly)
    }
}

/// Metadata of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The change's unique random identifier.
    pub id: ChangeId,
    /// The author.
    pub author: String,
    /// The time of the change.
    pub time: UnixTime,
    /// The revision that it is based on.
    pub base: Base,
}

/// The rejection of a change that is not based on the current revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The revision that the change is based on.
    pub base: Revision,
    /// The current head; `None` if there is none.
    pub current: Option<Head>,
}

/// The result of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change was accepted as this revision.
    Accepted(Revision),
    /// The current catalogue already has the same content.
    Unchanged(Revision),
    /// The change is not based on the current revision, as another change was accepted first; it
    /// had no effect.
    Conflict(Conflict),
    /// The store is unavailable; the change had no effect.
    Failed,
    /// The store is unavailable; the change may have taken effect or may still do so.
    Unknown(ChangeId),
}

/// An action requested by the publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make this store call and pass its reply to the publisher.
    Call(Request),
    /// Publishing has ended with this result.
    Done(PublishOutcome),
}
