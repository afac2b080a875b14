//! Exit codes.

use std::process::ExitCode;

/// The exit codes of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success, or nothing to do.
    Success = 0,
    /// The catalogue is invalid, or the request was refused.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another operator changed the catalogue first; nothing was changed.
    Conflict = 3,
    /// The platform or the entry does not answer; nothing was changed.
    NoAnswer = 4,
    /// It is unknown whether the change took effect.
    Unknown = 5,
    /// The change was accepted, but is not yet in force at every entry.
    Pending = 6,
}

/// The description of the exit codes in `--help`.
pub const EXIT_CODES: &str = "Exit codes: 0 done; 1 the catalogue is refused or cannot be read; \
    2 usage; 3 conflict with another operator's change, nothing changed; 4 no answer from the \
    platform or the entry, nothing changed; 5 it is unknown whether the change took effect; \
    6 accepted, but not yet in force at every entry.";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
