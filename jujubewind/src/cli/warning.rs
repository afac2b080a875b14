//! Warnings of commands that succeed.

use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use crate::types::NodeId;

/// A warning, printed to stderr.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Warning {
    /// Without a base, changes by others since the operator last looked are overwritten.
    NoBase,
    /// The entries know another entry, which the command does not wait for.
    Unlisted(NodeId),
    /// An entry did not answer.
    NoAnswer(SocketAddr),
}

impl Display for Warning {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoBase => f.write_str(
                "without --base REVISION this overwrites what others changed since you looked; \
                 pass the revision that `jujube catalogue diff` printed",
            ),
            Self::Unlisted(node) => write!(
                f,
                "entry {node} is not waited for; add its address to --entries"
            ),
            Self::NoAnswer(addr) => write!(f, "the entry at {addr} does not answer"),
        }
    }
}

impl Warning {
    /// Prints the warning.
    pub fn print(&self) {
        eprintln!("warning: {self}");
    }
}
