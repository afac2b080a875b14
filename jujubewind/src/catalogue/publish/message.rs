//! What the publisher asks of the store, and what it concludes.

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
    /// The store's version of the head record; zero if there is none.
    pub struct HeadVersion(u64), "";
}

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reads the head.
    ReadHead,
    /// Reads the head that `Revision` had, if it was replaced.
    ReadHistory(Revision),
    /// Writes a page or part under its address; writing it again is harmless.
    WriteText(ContentHash, Arc<str>),
    /// Keeps a head that is about to be replaced; writing it again is harmless.
    WriteHistory(Head),
    /// Replaces the head if it still has this version.
    SwapHead(HeadVersion, Head),
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The head with its version, or none.
    Head(Option<(HeadVersion, Head)>),
    /// The replaced head, or none.
    History(Option<Head>),
    /// The write took effect.
    Written,
    /// The head had another version; the swap had no effect.
    Changed,
    /// The call had no effect and never will.
    Failed,
    /// No answer: the call may have taken effect, or may yet.
    Unknown,
}

/// How operators write [`Base::Latest`].
const LATEST: &str = "latest";

/// The revision that a change was made against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// Whatever is in force when the change is published.
    Latest,
    /// This one; another means that someone else was faster.
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

/// Who changes what, on which ground.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The change's identifier, drawn anew for each.
    pub id: ChangeId,
    /// Who makes it.
    pub author: String,
    /// When.
    pub time: UnixTime,
    /// The revision it was made against.
    pub base: Base,
}

/// Who was faster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The revision that the change was made against.
    pub base: Revision,
    /// The head in force instead; `None` if there is none at all.
    pub current: Option<Head>,
}

/// How publishing ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is accepted under this revision.
    Accepted(Revision),
    /// The catalogue in force is the same already.
    Unchanged(Revision),
    /// Another change was faster; this one had no effect.
    Conflict(Conflict),
    /// The store does not answer; the change had no effect.
    Failed,
    /// The store does not answer; the change may have taken effect, or may yet.
    Unknown(ChangeId),
}

/// What the publisher wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make this call, and hand in its reply.
    Ask(Request),
    /// Publishing has ended.
    Done(PublishOutcome),
}
