//! A change of what is kept outside the entries.

use super::Fingerprint;
use super::Suspect;

/// What to keep of a request or part, so that it outlasts all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConvictionChange {
    /// It has enough crashes to be refused.
    Keep(Suspect),
    /// It is no longer refused.
    Drop(Fingerprint),
}

impl ConvictionChange {
    /// What it is about.
    #[must_use]
    pub const fn print(&self) -> Fingerprint {
        match self {
            Self::Keep(suspect) => suspect.print,
            Self::Drop(print) => *print,
        }
    }
}
