//! What an operator should know although the command succeeds.

use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

/// A remark on stderr.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Warning {
    /// Without a base, a change made since the operator looked is overwritten.
    NoBase,
    /// An entry did not answer.
    Silent(SocketAddr),
}

impl Display for Warning {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoBase => f.write_str(
                "without --base REVISION this overwrites what others changed since you looked; \
                 pass the revision that `jujube catalogue diff` printed",
            ),
            Self::Silent(addr) => write!(f, "the entry at {addr} does not answer"),
        }
    }
}

impl Warning {
    /// Prints the remark.
    pub fn print(&self) {
        eprintln!("warning: {self}");
    }
}
