//! The exit codes of the command.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done, or nothing to do.
    Success = 0,
    /// The catalogue or the command cannot be used as it is.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another operator was faster; nothing was changed.
    Conflict = 3,
    /// The platform or the entry does not answer; nothing was changed.
    NoAnswer = 4,
    /// Whether the change took effect is not known.
    Unknown = 5,
    /// The change is accepted, but not yet in force at every entry.
    Pending = 6,
}

/// What `--help` says of the exit codes.
pub const EXIT_CODES: &str = "Exit codes: 0 done; 1 the catalogue is refused or cannot be read; \
    2 usage; 3 another operator was faster, nothing changed; 4 no answer from the platform or \
    the entry, nothing changed; 5 it is unknown whether the change took effect; 6 accepted, but \
    not yet in force at every entry.";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
